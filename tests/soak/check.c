/**
 * @file check.c
 * What must hold, by what clients and workers saw.
 */
#include "soak/soak.h"
#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define EVENTS                                                                \
  "id: 1\ndata: e1\n\nid: 2\ndata: e2\n\nid: 3\ndata: e3\n\nid: 4\ndata: "    \
  "e4\n\n"

static bool calm (const struct soak *soak, const struct soak_gateway *gateway);
static void check_worker (struct soak *soak, const struct soak_worker *worker,
                          struct soak_request *request, const char *text);
static void check_status (struct soak *soak, struct soak_request *request,
                          int status);
static void check_key (struct soak *soak, const struct soak_request *request,
                       bool accepted);
static void check_success (struct soak *soak,
                           const struct soak_request *request,
                           const struct platclient *link, const char *body);
static size_t body_of (const char *text, char *out);
static void count_repeat (struct soak *soak, bool repeat);

static const char *const names[] = {
  [SOAK_OWN_ANSWER] = "own whole answer",
  [SOAK_AT_MOST_ONCE] = "at most once",
  [SOAK_TRUE_REFUSAL] = "a refusal is true",
  [SOAK_NO_ANSWER] = "what was passed on is answered",
  [SOAK_LATE_ANSWER] = "answered by the route's time",
  [SOAK_LATE_CHANGE] = "a change is in force in time",
  [SOAK_REGRESSION] = "no return to older rules",
  [SOAK_DENIAL] = "a known route is known",
  [SOAK_SENT_FOREIGN] = "only what a client sent",
  [SOAK_SENT_LEAVING] = "nothing new to one that leaves",
  [SOAK_SENT_GONE] = "nothing for a client that left",
  [SOAK_REPEAT_BUDGET] = "budget of repeats",
  [SOAK_UNASKED_BYTES] = "no bytes unasked",
  [SOAK_NOT_RECOVERED] = "all serve after the faults",
};

const char *
soak_promise_name (enum soak_promise promise)
{
  return names[promise];
}

void
soak_broken (struct soak *soak, enum soak_promise promise,
             const struct soak_request *request, const char *what)
{
  soak->broken[promise]++;
  fprintf (stderr, "BROKEN %.3f s: %s: %s",
           (double)(soak_now (soak) - soak->start_ns) / 1e9, names[promise],
           what);
  if (request != NULL)
    fprintf (stderr, ": %s at gateway %u, sent %.3f s, arrived %u, run %u",
             request->id, request->gateway,
             (double)(request->sent_ns - soak->start_ns) / 1e9,
             request->arrivals, request->runs);
  fputc ('\n', stderr);
}

/* Bounds in time hold for gateways without trouble of late. */
static bool
calm (const struct soak *soak, const struct soak_gateway *gateway)
{
  return gateway->up && !gateway->frozen && !gateway->leaving
         && soak_past (soak, gateway->restarted_ns, SOAK_CONTACT_MS)
         && soak_calm (soak, &gateway->trouble);
}

/* At workers. */

void
soak_check_arrival (struct platworker *server, const char *text)
{
  struct soak *soak = server->user;
  struct soak_worker *worker = (struct soak_worker *)server;
  struct soak_request *request;
  bool plain
      = strstr (text, "/stream/") == NULL && strstr (text, "/resume/") == NULL;
  char id[SOAK_ID_SIZE];

  server->act = plain ? PLATWORKER_ANSWER : PLATWORKER_STREAM;
  server->work_ms = 0;
  if (strncmp (text, "GET /h ", 7) == 0)
    return;
  platworker_header (text, "X-Attempt-Id", id, sizeof id);
  HASH_FIND_STR (soak->requests, id, request);
  if (request == NULL)
    {
      soak_broken (soak, SOAK_SENT_FOREIGN, NULL, id);
      return;
    }
  if (rng_below (&soak->rng, 1000) < worker->permille)
    server->act = worker->act == PLATWORKER_RESET && !plain ? PLATWORKER_CUT
                                                            : worker->act;
  server->work_ms = 1 + (uint32_t)rng_below (&soak->rng, 120);
  check_worker (soak, worker, request, text);
  count_repeat (soak, request->arrivals > 0);
  request->arrivals++;
  if (server->act != PLATWORKER_FULL && server->act != PLATWORKER_OTHER)
    request->runs++;
  if (server->act != PLATWORKER_ANSWER && server->act != PLATWORKER_STREAM)
    request->harmed = true;
  if (request->kind == SOAK_ONCE && request->runs > 1)
    soak_broken (soak, SOAK_AT_MOST_ONCE, request, "runs again");
  if (request->kind == SOAK_ONCE && request->refused && request->runs > 0)
    soak_broken (soak, SOAK_TRUE_REFUSAL, request, "runs after its refusal");
}

static void
check_worker (struct soak *soak, const struct soak_worker *worker,
              struct soak_request *request, const char *text)
{
  const struct soak_gateway *gateway = &soak->gateways[request->gateway];
  const char *body = strstr (text, "\r\n\r\n") + 4;
  char value[64];

  platworker_header (text, "X-Tenant", value, sizeof value);
  if (strcmp (value, "ana") != 0)
    soak_broken (soak, SOAK_SENT_FOREIGN, request, "customer");
  platworker_header (text, "X-Credential", value, sizeof value);
  if (value[0] != '\0')
    soak_broken (soak, SOAK_SENT_FOREIGN, request, "key");
  if (strcmp (body, request->id) != 0)
    soak_broken (soak, SOAK_SENT_FOREIGN, request, "body");
  if (!calm (soak, gateway))
    return;
  if (worker->leaving_ns != 0
      && soak_past (soak, worker->leaving_ns, SOAK_LEAVE_MS)
      && soak_calm (soak, &soak->store_trouble))
    soak_broken (soak, SOAK_SENT_LEAVING, request, "sent to it");
  if (request->left_ns != 0
      && soak_past (soak, request->left_ns, SOAK_CANCEL_MS)
      && soak_calm (soak, &soak->links_trouble))
    soak_broken (soak, SOAK_SENT_GONE, request, "sent on");
}

static void
count_repeat (struct soak *soak, bool repeat)
{
  uint64_t second = (soak_now (soak) - soak->start_ns) / CLOCK_NS_PER_S;

  if (repeat && second < soak->second_count)
    soak->seconds[second].repeats++;
}

/* At clients. */

void
soak_check_answer (struct soak *soak, struct soak_client *client)
{
  struct soak_request *request = client->request;
  struct soak_gateway *gateway = &soak->gateways[request->gateway];
  const struct platclient *link = &client->link;
  bool whole = platclient_answered (link);
  static char body[PLATWORKER_TEXT_SIZE];
  int status = 0;

  if (!whole)
    {
      if (gateway->up && !gateway->frozen
          && gateway->lifetime == client->lifetime
          && (gateway->leaving || calm (soak, gateway)) && request->runs > 0
          && !request->harmed && soak_calm (soak, &soak->links_trouble))
        soak_broken (soak, SOAK_NO_ANSWER, request, "closed");
      return;
    }
  soak->answered++;
  sscanf (link->got, "HTTP/1.1 %d", &status);
  if (body_of (link->got, body) != link->size)
    soak_broken (soak, SOAK_UNASKED_BYTES, request, "behind an answer");
  check_status (soak, request, status);
  if (status == 200)
    {
      check_success (soak, request, link, body);
      soak->served++;
      gateway->served++;
      gateway->served_ns = soak_now (soak);
    }
  if (calm (soak, gateway)
      && soak_past (soak, request->sent_ns, SOAK_ROUTE_MS + SOAK_LATE_MS))
    soak_broken (soak, SOAK_LATE_ANSWER, request, "late");
}

static void
check_status (struct soak *soak, struct soak_request *request, int status)
{
  request->refused
      = status == 503 || status == 429 || status == 408 || status == 421;
  if (request->refused && request->kind == SOAK_ONCE && request->runs > 0)
    soak_broken (soak, SOAK_TRUE_REFUSAL, request, "it has run");
  if (status == 403 || status == 404 || status == 400)
    soak_broken (soak, SOAK_DENIAL, request, "refused as unknown");
  if (status == 200 || status == 401)
    check_key (soak, request, status == 200);
}

static void
check_key (struct soak *soak, const struct soak_request *request,
           bool accepted)
{
  struct soak_gateway *gateway = &soak->gateways[request->gateway];
  bool in_touch
      = calm (soak, gateway) && soak_calm (soak, &soak->store_trouble);
  uint64_t changed_ns = soak->key_ns[soak->key];
  bool newest = request->key == soak->key;

  if (accepted != newest && in_touch && request->sent_ns > changed_ns
      && request->sent_ns - changed_ns > SOAK_CONFIG_MS * CLOCK_NS_PER_MS)
    soak_broken (soak, SOAK_LATE_CHANGE, request,
                 accepted ? "an old key works" : "the new key does not");
  if (accepted && request->key < gateway->key_seen
      && request->sent_ns
             > gateway->key_seen_ns + SOAK_REGRESS_MS * CLOCK_NS_PER_MS)
    soak_broken (soak, SOAK_REGRESSION, request, "an old key works again");
  if (accepted && request->key > gateway->key_seen)
    {
      gateway->key_seen = request->key;
      gateway->key_seen_ns = soak_now (soak);
    }
}

static void
check_success (struct soak *soak, const struct soak_request *request,
               const struct platclient *link, const char *body)
{
  const char *wanted = request->kind < SOAK_STREAM ? request->id : EVENTS;
  char value[64];

  platworker_header (link->got, "X-Attempt-Id", value, sizeof value);
  if (strcmp (value, request->id) != 0)
    soak_broken (soak, SOAK_OWN_ANSWER, request, value);
  platworker_header (link->got, "X-Worker-Signature", value, sizeof value);
  if (value[0] == '\0')
    soak_broken (soak, SOAK_OWN_ANSWER, request, "unsigned");
  if (strcmp (body, wanted) != 0)
    soak_broken (soak, SOAK_OWN_ANSWER, request, body);
  if (request->runs == 0)
    soak_broken (soak, SOAK_OWN_ANSWER, request, "served without a run");
}

/* Takes a response apart.  @return its bytes. */
static size_t
body_of (const char *text, char *out)
{
  const char *at = strstr (text, "\r\n\r\n") + 4;
  char length[16];
  size_t size;

  out[0] = '\0';
  platworker_header (text, "Content-Length", length, sizeof length);
  if (length[0] != '\0')
    {
      size = strtoul (length, NULL, 10);
      memcpy (out, at, size);
      out[size] = '\0';
      return (size_t)(at - text) + size;
    }
  while ((size = strtoul (at, NULL, 16)) > 0)
    {
      at = strstr (at, "\r\n") + 2;
      strncat (out, at, size);
      at += size + 2;
    }
  return (size_t)(at + 5 - text);
}

/* At the end. */

void
soak_check_end (struct soak *soak)
{
  char text[64];
  uint32_t from;
  uint32_t i;

  for (i = 0; i < SOAK_GATEWAYS; i++)
    if (soak->gateways[i].served_ns + SOAK_SERVED_MS * CLOCK_NS_PER_MS
        < soak->end_ns)
      {
        snprintf (text, sizeof text, "gateway %u serves nothing", i);
        soak_broken (soak, SOAK_NOT_RECOVERED, NULL, text);
      }
  for (from = 0; from + SOAK_WINDOW_S <= soak->second_count; from++)
    {
      uint32_t requests = 0;
      uint32_t before = 0;
      uint32_t repeats = 0;

      for (i = from; i < from + SOAK_WINDOW_S; i++)
        {
          requests += soak->seconds[i].requests;
          repeats += soak->seconds[i].repeats;
          if (i >= SOAK_WINDOW_S)
            before += soak->seconds[i - SOAK_WINDOW_S].requests;
        }
      if (before > requests)
        requests = before;
      if (repeats > SOAK_REPEATS + SOAK_SHARE * requests)
        soak_broken (soak, SOAK_REPEAT_BUDGET, NULL, "a window");
    }
}
