/**
 * @file client.c
 * Clients.  Each sends sequential requests over a keep-alive connection, and
 * sometimes disconnects before the response or connects to another gateway.
 */
#include "soak/soak.h"
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define PAUSE_MS           60   /**< maximum pause between two requests */
#define RECONNECT_MS       100  /**< maximum pause after a connection ended */
#define CLIENT_TIMEOUT_MS  5000 /**< also sent as the deadline */
#define DISCONNECT_PERCENT 4    /**< requests that the client abandons */
#define MOVE_PERCENT       5    /**< responses followed by a reconnect */
#define OLD_KEY_PERCENT    10   /**< requests with the previous API key */

enum form_kind
{
  FORM_USUAL,
  FORM_REPORT, /* methods that are unknown to common parsers */
  FORM_QUERY,
  FORM_ODD_NAME,    /* of a header; a token */
  FORM_INVALID_NAME /* no token */
};

static void connect_to (struct soak *soak, struct soak_client *client);
static void send_next (struct soak *soak, struct soak_client *client);
static void delay_next (struct soak *soak, struct soak_client *client,
                        uint32_t pause_ms);
static const struct soak_form *draw_form (struct soak *soak,
                                          const struct soak_client *client);
static bool announces_end (const struct platclient *link);

const struct soak_form soak_forms[SOAK_FORMS] = {
  [FORM_USUAL] = { "usual", 92, "POST", "", false },
  [FORM_REPORT] = { "REPORT", 2, "REPORT", "", false },
  [FORM_QUERY] = { "QUERY", 2, "QUERY", "", false },
  [FORM_ODD_NAME] = { "odd_header", 2, "POST", "X!odd#name: 1\r\n", false },
  [FORM_INVALID_NAME]
  = { "invalid_header", 2, "POST", "X-Tenant : other\r\n", true },
};

static const char *const paths[]
    = { "/again/x", "/once/x", "/stream/x", "/resume/x" };

void
soak_client_close (struct soak_client *client)
{
  if (client->open)
    platclient_finish (&client->link);
  client->open = false;
  client->request = NULL;
}

void
soak_client_run (struct soak *soak, struct soak_client *client)
{
  uint64_t now_ns = soak_now_ns (soak);
  struct soak_request *request = client->request;

  if (!client->open)
    {
      if (now_ns >= client->next_ns)
        connect_to (soak, client);
      return;
    }
  if (request == NULL)
    {
      if (client->link.size > 0)
        soak_report_violation (soak, SOAK_NO_EXTRA_BYTES, NULL,
                               client->link.got);
      if (client->link.closed || client->link.size > 0)
        {
          soak_client_close (client);
          delay_next (soak, client, RECONNECT_MS);
        }
      else if (now_ns >= client->next_ns)
        send_next (soak, client);
      return;
    }
  if (platclient_answered (&client->link) || client->link.closed)
    {
      soak_check_response (soak, client);
      client->request = NULL;
      client->kept = !announces_end (&client->link);
      if (client->link.closed || rng_below (&soak->rng, 100) < MOVE_PERCENT)
        soak_client_close (client);
      else
        platclient_reset (&client->link);
      delay_next (soak, client, client->open ? PAUSE_MS : RECONNECT_MS);
      return;
    }
  if ((client->disconnect_ns != 0 && now_ns >= client->disconnect_ns)
      || soak_elapsed (soak, request->sent_ns, CLIENT_TIMEOUT_MS))
    {
      request->disconnected_ns = now_ns;
      soak_client_close (client);
      delay_next (soak, client, RECONNECT_MS);
    }
}

static void
delay_next (struct soak *soak, struct soak_client *client, uint32_t pause_ms)
{
  client->next_ns = soak_now_ns (soak)
                    + (1 + rng_below (&soak->rng, pause_ms)) * CLOCK_NS_PER_MS;
}

/* Connects to a gateway that runs and does not drain, like a load balancer. */
static void
connect_to (struct soak *soak, struct soak_client *client)
{
  uint32_t i = (uint32_t)rng_below (&soak->rng, SOAK_GATEWAYS);

  delay_next (soak, client, RECONNECT_MS);
  if (!soak->gateways[i].up || soak->gateways[i].draining)
    return;
  client->gateway = i;
  client->incarnation = soak->gateways[i].incarnation;
  platclient_init (&client->link, soak->base, soak->gateways[i].port);
  client->open = true;
  client->kept = false;
}

/* A gateway may close a new connection, or answer it with 503, before it has
   read a request; invalid ones are sent on kept connections only. */
static const struct soak_form *
draw_form (struct soak *soak, const struct soak_client *client)
{
  uint32_t drawn = (uint32_t)rng_below (&soak->rng, 100);
  const struct soak_form *form = soak_forms;

  for (; drawn >= form->percent; form++)
    drawn -= form->percent;
  return form->invalid && !client->kept ? &soak_forms[FORM_USUAL] : form;
}

static bool
announces_end (const struct platclient *link)
{
  char value[16];

  upstreamserver_get_header (link->got, "Connection", value, sizeof value);
  return strcasecmp (value, "close") == 0;
}

static void
send_next (struct soak *soak, struct soak_client *client)
{
  struct soak_request *request = calloc (1, sizeof *request);
  uint64_t second = (soak_now_ns (soak) - soak->start_ns) / CLOCK_NS_PER_S;
  char text[512];

  if (request == NULL)
    return;
  snprintf (request->id, sizeof request->id, "soak-%u",
            HASH_COUNT (soak->requests));
  request->kind = (enum soak_kind)rng_below (&soak->rng, SOAK_KIND_MAX);
  request->form = draw_form (soak, client);
  request->gateway = client->gateway;
  request->key = soak->key;
  if (soak->key > 0 && rng_below (&soak->rng, 100) < OLD_KEY_PERCENT)
    request->key--;
  request->sent_ns = soak_now_ns (soak);
  client->disconnect_ns = 0;
  if (rng_below (&soak->rng, 100) < DISCONNECT_PERCENT)
    client->disconnect_ns
        = request->sent_ns
          + rng_below (&soak->rng, SOAK_ROUTE_MS) * CLOCK_NS_PER_MS;
  snprintf (text, sizeof text,
            "%s %s HTTP/1.1\r\nHost: shop.example\r\n%sX-Attempt-Id: %s\r\n"
            "X-Credential: key-%u\r\nX-Deadline-Remaining-Ms: %d\r\n"
            "Content-Length: %zu\r\n\r\n%s",
            request->form->method, paths[request->kind], request->form->header,
            request->id, request->key, CLIENT_TIMEOUT_MS, strlen (request->id),
            request->id);
  platclient_send (&client->link, text);
  HASH_ADD_STR (soak->requests, id, request);
  client->request = request;
  soak->sent++;
  if (second < soak->second_count && !request->form->invalid)
    soak->seconds[second].requests++;
}
