/**
 * @file client.c
 * Clients: each sends one request after another on a connection that it
 * keeps until the gateway closes it, and now and then leaves early.
 */
#include "soak/soak.h"
#include <stdio.h>
#include <stdlib.h>

#define PAUSE_MS      60   /**< between two requests, at most */
#define RECONNECT_MS  100  /**< after a connection that ended */
#define PATIENCE_MS   5000 /**< a client's own time; stated in the request */
#define LEAVE_PERCENT 4    /**< of requests whose client leaves early */
#define MOVE_PERCENT  5  /**< of answers after which a client goes elsewhere */
#define OLD_PERCENT   10 /**< of requests that name the key before */

static void connect_to (struct soak *soak, struct soak_client *client);
static void send_next (struct soak *soak, struct soak_client *client);
static void rest (struct soak *soak, struct soak_client *client,
                  uint32_t pause_ms);

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
  uint64_t now_ns = soak_now (soak);
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
        soak_broken (soak, SOAK_UNASKED_BYTES, NULL, client->link.got);
      if (client->link.closed || client->link.size > 0)
        {
          soak_client_close (client);
          rest (soak, client, RECONNECT_MS);
        }
      else if (now_ns >= client->next_ns)
        send_next (soak, client);
      return;
    }
  if (platclient_answered (&client->link) || client->link.closed)
    {
      soak_check_answer (soak, client);
      client->request = NULL;
      if (client->link.closed || rng_below (&soak->rng, 100) < MOVE_PERCENT)
        soak_client_close (client);
      else
        platclient_reset (&client->link);
      rest (soak, client, client->open ? PAUSE_MS : RECONNECT_MS);
      return;
    }
  if ((client->leave_ns != 0 && now_ns >= client->leave_ns)
      || soak_past (soak, request->sent_ns, PATIENCE_MS))
    {
      request->left_ns = now_ns;
      soak_client_close (client);
      rest (soak, client, RECONNECT_MS);
    }
}

static void
rest (struct soak *soak, struct soak_client *client, uint32_t pause_ms)
{
  client->next_ns = soak_now (soak)
                    + (1 + rng_below (&soak->rng, pause_ms)) * CLOCK_NS_PER_MS;
}

/* A client goes to a gateway that is there, as a balancer would see to. */
static void
connect_to (struct soak *soak, struct soak_client *client)
{
  uint32_t i = (uint32_t)rng_below (&soak->rng, SOAK_GATEWAYS);

  rest (soak, client, RECONNECT_MS);
  if (!soak->gateways[i].up || soak->gateways[i].leaving)
    return;
  client->gateway = i;
  client->lifetime = soak->gateways[i].lifetime;
  platclient_init (&client->link, soak->base, soak->gateways[i].port);
  client->open = true;
}

static void
send_next (struct soak *soak, struct soak_client *client)
{
  struct soak_request *request = calloc (1, sizeof *request);
  uint64_t second = (soak_now (soak) - soak->start_ns) / CLOCK_NS_PER_S;
  char text[512];

  if (request == NULL)
    return;
  snprintf (request->id, sizeof request->id, "soak-%u",
            HASH_COUNT (soak->requests));
  request->kind = (enum soak_kind)rng_below (&soak->rng, SOAK_KIND_MAX);
  request->gateway = client->gateway;
  request->key = soak->key;
  if (soak->key > 0 && rng_below (&soak->rng, 100) < OLD_PERCENT)
    request->key--;
  request->sent_ns = soak_now (soak);
  client->leave_ns = 0;
  if (rng_below (&soak->rng, 100) < LEAVE_PERCENT)
    client->leave_ns
        = request->sent_ns
          + rng_below (&soak->rng, SOAK_ROUTE_MS) * CLOCK_NS_PER_MS;
  snprintf (text, sizeof text,
            "POST %s HTTP/1.1\r\nHost: shop.example\r\nX-Attempt-Id: %s\r\n"
            "X-Credential: key-%u\r\nX-Deadline-Remaining-Ms: %d\r\n"
            "Content-Length: %zu\r\n\r\n%s",
            paths[request->kind], request->id, request->key, PATIENCE_MS,
            strlen (request->id), request->id);
  platclient_send (&client->link, text);
  HASH_ADD_STR (soak->requests, id, request);
  client->request = request;
  soak->sent++;
  if (second < soak->second_count)
    soak->seconds[second].requests++;
}
