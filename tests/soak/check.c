/**
 * @file check.c
 * Checks of the invariants on what clients and upstreams observe.
 */
#include "soak/soak.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EVENTS                                                                \
  "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: "    \
  "e4\n\n"

static bool gateway_undisturbed (const struct soak *soak,
                                 const struct soak_gateway *gateway);
static enum upstreamserver_behaviour draw_reset (struct soak *soak,
                                                 bool plain);
static void check_forwarded (struct soak *soak,
                             const struct soak_upstream *upstream,
                             struct soak_request *request,
                             const char *message);
static void check_status (struct soak *soak, struct soak_request *request,
                          int status);
static void check_key (struct soak *soak, const struct soak_request *request,
                       bool accepted);
static void check_success (struct soak *soak,
                           const struct soak_request *request,
                           const struct platclient *link, const char *body);
static size_t parse_body (const char *message, char *out);
static void count_retry (struct soak *soak, bool retry);
static void check_notice (struct soak *soak, struct soak_upstream *upstream,
                          const struct soak_request *request);
static void check_limit (struct soak *soak, struct soak_notice *notice,
                         const struct soak_request *request);

static const char *const names[] = {
  [SOAK_VALID_RESPONSE] = "a response is complete, signed and for its request",
  [SOAK_AT_MOST_ONCE] = "a non-idempotent request runs at most once",
  [SOAK_REFUSED_NOT_RUN] = "a refused request does not run",
  [SOAK_RESPONSE_SENT] = "a forwarded request gets a response",
  [SOAK_RESPONSE_IN_TIME] = "a response comes within the route's timeout",
  [SOAK_CHANGE_IN_TIME] = "a configuration change takes effect in time",
  [SOAK_NO_REGRESSION] = "no return to an older configuration",
  [SOAK_NO_FALSE_DENIAL] = "a known route is not refused as unknown",
  [SOAK_INVALID_REFUSED] = "an invalid request gets 400 and no worker",
  [SOAK_NO_FOREIGN_DATA] = "workers get only client requests, without keys",
  [SOAK_WITHDRAWN_UNUSED] = "a withdrawn worker gets no new requests",
  [SOAK_DISCONNECT_CANCELS] = "nothing is sent for a disconnected client",
  [SOAK_RETRY_BUDGET] = "retries stay within their budget",
  [SOAK_NO_EXTRA_BYTES] = "no bytes besides the responses",
  [SOAK_LIMIT_KEPT] = "a worker gets no more than the limit that it names",
  [SOAK_PAUSE_KEPT] = "a worker that wants nothing gets nothing",
  [SOAK_ALL_RECOVERED] = "all gateways serve after the faults",
};

const char *
soak_invariant_name (enum soak_invariant invariant)
{
  return names[invariant];
}

void
soak_report_violation (struct soak *soak, enum soak_invariant invariant,
                       const struct soak_request *request, const char *detail)
{
  soak->violations[invariant]++;
  fprintf (stderr, "BROKEN %.3f s: %s: %s",
           (double)(soak_now_ns (soak) - soak->start_ns) / 1e9,
           names[invariant], detail);
  if (request != NULL)
    fprintf (stderr,
             ": %s at gateway %u, sent at %.3f s, %u arrivals, %u runs",
             request->id, request->gateway,
             (double)(request->sent_ns - soak->start_ns) / 1e9,
             request->arrivals, request->runs);
  fputc ('\n', stderr);
}

/* Time limits apply only to gateways without recent disturbances. */
static bool
gateway_undisturbed (const struct soak *soak,
                     const struct soak_gateway *gateway)
{
  return gateway->up && !gateway->suspended && !gateway->draining
         && soak_elapsed (soak, gateway->restarted_ns, SOAK_SETTLE_MS)
         && soak_undisturbed (soak, &gateway->disturbance);
}

/* At upstreams. */

void
soak_check_arrival (struct upstreamserver *server, const char *message)
{
  struct soak *soak = server->user;
  struct soak_upstream *upstream = (struct soak_upstream *)server;
  struct soak_request *request;
  bool plain = strstr (message, "/stream/") == NULL
               && strstr (message, "/resume/") == NULL;
  char id[SOAK_ID_SIZE];

  server->behaviour = plain ? UPSTREAMSERVER_RESPOND : UPSTREAMSERVER_STREAM;
  server->response_delay_ms = 0;
  if (strncmp (message, "GET /h ", 7) == 0)
    return;
  upstreamserver_get_header (message, "X-Attempt-Id", id, sizeof id);
  HASH_FIND_STR (soak->requests, id, request);
  if (request == NULL)
    {
      soak_report_violation (soak, SOAK_NO_FOREIGN_DATA, NULL, id);
      return;
    }
  if (rng_below (&soak->rng, 1000) < upstream->permille)
    server->behaviour = upstream->behaviour == UPSTREAMSERVER_RESET
                            ? draw_reset (soak, plain)
                            : upstream->behaviour;
  server->response_delay_ms = 1 + (uint32_t)rng_below (&soak->rng, 120);
  if (upstream->notice.begun_ns != 0)
    check_notice (soak, upstream, request);
  check_forwarded (soak, upstream, request, message);
  count_retry (soak, request->arrivals > 0);
  request->arrivals++;
  if (server->behaviour != UPSTREAMSERVER_REJECT
      && server->behaviour != UPSTREAMSERVER_MISDIRECTED)
    request->runs++;
  if (server->behaviour != UPSTREAMSERVER_RESPOND
      && server->behaviour != UPSTREAMSERVER_STREAM)
    request->faulted = true;
  if (request->kind == SOAK_KIND_ONCE && request->runs > 1)
    soak_report_violation (soak, SOAK_AT_MOST_ONCE, request,
                           "runs a second time");
  if (request->kind == SOAK_KIND_ONCE && request->refused && request->runs > 0)
    soak_report_violation (soak, SOAK_REFUSED_NOT_RUN, request,
                           "runs after it was refused");
}

/* Drawn for each request, so that the faults of a seed stay the same. */
static enum upstreamserver_behaviour
draw_reset (struct soak *soak, bool plain)
{
  static const enum upstreamserver_behaviour resets[][2]
      = { { UPSTREAMSERVER_STREAM_RESET,
            UPSTREAMSERVER_STREAM_UNFRAMED_RESET },
          { UPSTREAMSERVER_RESET, UPSTREAMSERVER_UNFRAMED_RESET } };

  uint32_t drawn = (uint32_t)rng_below (&soak->rng, 2);

  soak->unframed_resets += drawn;
  return resets[plain][drawn];
}

/* Gateways that were restarted, suspended or cut off since they were told are
   excused; they are told again. */
static void
check_notice (struct soak *soak, struct soak_upstream *upstream,
              const struct soak_request *request)
{
  struct soak_notice *notice = &upstream->notice;
  const struct soak_gateway *gateway = &soak->gateways[request->gateway];
  uint64_t *told_ns = &notice->told_ns[request->gateway];
  uint32_t *arrivals = &notice->arrivals[request->gateway];
  bool heeds;

  if (notice->limit_per_s == 0)
    upstream->server.behaviour = UPSTREAMSERVER_REJECT;
  if (!gateway_undisturbed (soak, gateway)
      || !soak_undisturbed (soak, &soak->links_disturbance)
      || (notice->limit_per_s == 0
          && soak_elapsed (soak, *told_ns, SOAK_PAUSE_MS)))
    *told_ns = 0;
  heeds = *told_ns != 0 && soak_elapsed (soak, *told_ns, SOAK_NOTICE_MS);
  if (heeds && notice->limit_per_s > 0
      && soak_elapsed (soak, notice->begun_ns, SOAK_SETTLE_MS))
    check_limit (soak, notice, request);
  if (heeds && notice->limit_per_s == 0 && ++*arrivals > SOAK_PAUSE_ARRIVALS)
    soak_report_violation (soak, SOAK_PAUSE_KEPT, request,
                           "sent to a worker that wants nothing");
  if (*told_ns != 0 || upstream->server.behaviour == UPSTREAMSERVER_HANG
      || upstream->server.behaviour == UPSTREAMSERVER_RESET
      || upstream->server.behaviour == UPSTREAMSERVER_UNFRAMED_RESET)
    return;
  *arrivals = 0;
  *told_ns = soak_now_ns (soak)
             + upstream->server.response_delay_ms * CLOCK_NS_PER_MS;
}

static void
check_limit (struct soak *soak, struct soak_notice *notice,
             const struct soak_request *request)
{
  const uint32_t allowed
      = notice->limit_per_s * SOAK_LIMIT_WINDOW_MS / 1000 * 3 / 2
        + SOAK_LIMIT_BURST;
  uint64_t *slot = &notice->counted_ns[notice->counted % allowed];

  if (notice->counted >= allowed
      && !soak_elapsed (soak, *slot, SOAK_LIMIT_WINDOW_MS))
    soak_report_violation (soak, SOAK_LIMIT_KEPT, request, notice->header);
  *slot = soak_now_ns (soak);
  notice->counted++;
}

static void
check_forwarded (struct soak *soak, const struct soak_upstream *upstream,
                 struct soak_request *request, const char *message)
{
  const struct soak_gateway *gateway = &soak->gateways[request->gateway];
  const char *method = request->form->method;
  const char *body = strstr (message, "\r\n\r\n") + 4;
  char value[64];

  if (strncmp (message, method, strlen (method)) != 0
      || message[strlen (method)] != ' ')
    soak_report_violation (soak, SOAK_NO_FOREIGN_DATA, request,
                           "another method");
  if (strstr (message, request->form->header) == NULL)
    soak_report_violation (soak, SOAK_NO_FOREIGN_DATA, request,
                           "header is missing");
  if (request->form->invalid)
    soak_report_violation (soak, SOAK_INVALID_REFUSED, request,
                           "sent to a worker");
  upstreamserver_get_header (message, "X-Tenant", value, sizeof value);
  if (strcmp (value, "ana") != 0)
    soak_report_violation (soak, SOAK_NO_FOREIGN_DATA, request,
                           "wrong customer");
  upstreamserver_get_header (message, "X-Credential", value, sizeof value);
  if (value[0] != '\0')
    soak_report_violation (soak, SOAK_NO_FOREIGN_DATA, request,
                           "API key was forwarded");
  if (strcmp (body, request->id) != 0)
    soak_report_violation (soak, SOAK_NO_FOREIGN_DATA, request, "wrong body");
  if (!gateway_undisturbed (soak, gateway))
    return;
  if (upstream->withdrawn_ns != 0
      && soak_elapsed (soak, upstream->withdrawn_ns, SOAK_WITHDRAW_MS)
      && soak_undisturbed (soak, &soak->store_disturbance))
    soak_report_violation (soak, SOAK_WITHDRAWN_UNUSED, request,
                           "request sent to withdrawn worker");
  if (request->disconnected_ns != 0
      && soak_elapsed (soak, request->disconnected_ns, SOAK_CANCEL_MS)
      && soak_undisturbed (soak, &soak->links_disturbance))
    soak_report_violation (soak, SOAK_DISCONNECT_CANCELS, request,
                           "sent after the client disconnected");
}

static void
count_retry (struct soak *soak, bool retry)
{
  uint64_t second = (soak_now_ns (soak) - soak->start_ns) / CLOCK_NS_PER_S;

  if (retry && second < soak->second_count)
    soak->seconds[second].retries++;
}

/* At clients. */

void
soak_check_response (struct soak *soak, struct soak_client *client)
{
  struct soak_request *request = client->request;
  struct soak_gateway *gateway = &soak->gateways[request->gateway];
  const struct platclient *link = &client->link;
  bool whole = platclient_answered (link);
  static char body[UPSTREAMSERVER_MESSAGE_SIZE];
  int status = 0;

  if (!whole)
    {
      if (request->form->invalid && gateway_undisturbed (soak, gateway))
        soak_report_violation (soak, SOAK_INVALID_REFUSED, request,
                               "connection closed without a response");
      if (gateway->up && !gateway->suspended
          && gateway->incarnation == client->incarnation
          && (gateway->draining || gateway_undisturbed (soak, gateway))
          && request->runs > 0 && !request->faulted
          && soak_undisturbed (soak, &soak->links_disturbance))
        soak_report_violation (soak, SOAK_RESPONSE_SENT, request,
                               "connection closed without a response");
      return;
    }
  soak->answered++;
  sscanf (link->got, "HTTP/1.1 %d", &status);
  if (parse_body (link->got, body) != link->size)
    soak_report_violation (soak, SOAK_NO_EXTRA_BYTES, request,
                           "extra bytes after a response");
  request->status = (uint16_t)status;
  check_status (soak, request, status);
  if (status == 200)
    {
      check_success (soak, request, link, body);
      soak->served++;
      gateway->served++;
      gateway->served_ns = soak_now_ns (soak);
    }
  if (gateway_undisturbed (soak, gateway)
      && soak_elapsed (soak, request->sent_ns, SOAK_ROUTE_MS + SOAK_MARGIN_MS))
    soak_report_violation (soak, SOAK_RESPONSE_IN_TIME, request,
                           "response is late");
}

static void
check_status (struct soak *soak, struct soak_request *request, int status)
{
  request->refused
      = status == 503 || status == 429 || status == 408 || status == 421;
  if (request->refused && request->kind == SOAK_KIND_ONCE && request->runs > 0)
    soak_report_violation (soak, SOAK_REFUSED_NOT_RUN, request,
                           "refused, but it has run");
  if (request->form->invalid)
    {
      if (status != 400)
        soak_report_violation (soak, SOAK_INVALID_REFUSED, request,
                               "another status");
      return;
    }
  if (status == 403 || status == 404 || status == 400)
    soak_report_violation (soak, SOAK_NO_FALSE_DENIAL, request,
                           "route refused as unknown");
  if (status == 405 || status == 501)
    soak_report_violation (soak, SOAK_NO_FALSE_DENIAL, request,
                           "method refused");
  if (status == 200 || status == 401)
    check_key (soak, request, status == 200);
}

static void
check_key (struct soak *soak, const struct soak_request *request,
           bool accepted)
{
  struct soak_gateway *gateway = &soak->gateways[request->gateway];
  bool undisturbed = gateway_undisturbed (soak, gateway)
                     && soak_undisturbed (soak, &soak->store_disturbance);
  uint64_t changed_ns = soak->key_ns[soak->key];
  bool newest = request->key == soak->key;

  if (accepted != newest && undisturbed && request->sent_ns > changed_ns
      && request->sent_ns - changed_ns > SOAK_CONFIG_MS * CLOCK_NS_PER_MS)
    soak_report_violation (soak, SOAK_CHANGE_IN_TIME, request,
                           accepted ? "an old key is accepted"
                                    : "the new key is refused");
  if (accepted && request->key < gateway->key_seen
      && request->sent_ns
             > gateway->key_seen_ns + SOAK_REGRESS_MS * CLOCK_NS_PER_MS)
    soak_report_violation (soak, SOAK_NO_REGRESSION, request,
                           "an old key is accepted again");
  if (accepted && request->key > gateway->key_seen)
    {
      gateway->key_seen = request->key;
      gateway->key_seen_ns = soak_now_ns (soak);
    }
}

static void
check_success (struct soak *soak, const struct soak_request *request,
               const struct platclient *link, const char *body)
{
  const char *wanted = request->kind < SOAK_KIND_STREAM ? request->id : EVENTS;
  char value[64];

  upstreamserver_get_header (link->got, "X-Attempt-Id", value, sizeof value);
  if (strcmp (value, request->id) != 0)
    soak_report_violation (soak, SOAK_VALID_RESPONSE, request, value);
  upstreamserver_get_header (link->got, "X-Worker-Signature", value,
                             sizeof value);
  if (value[0] == '\0')
    soak_report_violation (soak, SOAK_VALID_RESPONSE, request, "unsigned");
  if (strcmp (body, wanted) != 0)
    soak_report_violation (soak, SOAK_VALID_RESPONSE, request, body);
  if (request->runs == 0)
    soak_report_violation (soak, SOAK_VALID_RESPONSE, request,
                           "200 without a run at a worker");
}

/* Extracts the body of a response.  @return size of the whole response. */
static size_t
parse_body (const char *message, char *out)
{
  const char *at = strstr (message, "\r\n\r\n") + 4;
  char length[16];
  size_t size;

  out[0] = '\0';
  upstreamserver_get_header (message, "Content-Length", length, sizeof length);
  if (length[0] != '\0')
    {
      size = strtoul (length, NULL, 10);
      memcpy (out, at, size);
      out[size] = '\0';
      return (size_t)(at - message) + size;
    }
  while ((size = strtoul (at, NULL, 16)) > 0)
    {
      at = strstr (at, "\r\n") + 2;
      strncat (out, at, size);
      at += size + 2;
    }
  return (size_t)(at + 5 - message);
}

/* At the end. */

void
soak_check_end (struct soak *soak)
{
  char text[64];
  uint32_t first;
  uint32_t i;

  for (i = 0; i < SOAK_GATEWAYS; i++)
    if (soak->gateways[i].served_ns + SOAK_SERVED_MS * CLOCK_NS_PER_MS
        < soak->end_ns)
      {
        snprintf (text, sizeof text, "no recent success at gateway %u", i);
        soak_report_violation (soak, SOAK_ALL_RECOVERED, NULL, text);
      }
  for (first = 0; first + SOAK_RETRY_WINDOW_S <= soak->second_count; first++)
    {
      uint32_t requests = 0;
      uint32_t previous = 0;
      uint32_t retries = 0;

      for (i = first; i < first + SOAK_RETRY_WINDOW_S; i++)
        {
          requests += soak->seconds[i].requests;
          retries += soak->seconds[i].retries;
          if (i >= SOAK_RETRY_WINDOW_S)
            previous += soak->seconds[i - SOAK_RETRY_WINDOW_S].requests;
        }
      if (previous > requests)
        requests = previous;
      if (retries > SOAK_RETRY_ALLOWANCE + SOAK_RETRY_RATIO * requests)
        soak_report_violation (soak, SOAK_RETRY_BUDGET, NULL,
                               "too many retries in a window");
    }
}
