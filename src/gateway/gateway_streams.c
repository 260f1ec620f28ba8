/**
 * @file gateway_streams.c
 * Builds of streams that are in progress here or are taken up.
 */
#include "gateway/gateway_streams.h"
#include "gateway/gateway_peers.h"
#include "gateway/gateway_stream_store.h"
#include "state/request_digest.h"
#include "transport/log.h"
#include <string.h>
#include <utlist.h>

/* Old streams are forgotten, and markers renewed, this often. */
#define TICKS_PER_RENEWAL 100
/* A registration lags behind the start of its upstream by at most this much:
   a heartbeat, and the way through the store and the hubs. */
#define ENTRY_LAG_MS 10000
#define ROWS_MAX     1024 /* in a message; others follow */
/* Peers that are in touch confirm what they know within half of this, also
   through hubs. */
#define CONFIRM_MS 500
/* A gateway that its peers have confirmed nothing for this long is out of
   touch. */
#define INFORMED_MS 1000
/* Binds a stream whose build is unknown: no upstream has it. */
#define BUILD_UNKNOWN UINT64_MAX

/** Whether this gateway knows what the others knew when a request arrived. */
enum knowledge
{
  KNOWLEDGE_CURRENT,
  KNOWLEDGE_EXPECTED,    /**< their reports say so in a moment */
  KNOWLEDGE_OUT_OF_TOUCH /**< they may not for a while */
};

static uint64_t stream_key (const struct gateway_request *request,
                            const char *id);
static enum knowledge find_build (struct gateway_request *request,
                                  uint64_t key);
static uint64_t find_single_build (const struct gateway_request *request);
static enum knowledge peers_confirm (const struct gateway_request *request);
static struct gateway_request *find_decided (struct gateway *gateway);
static void record (struct gateway_request *request, uint64_t key);
static void on_rebuilt (void *user, const struct registry_upstream *upstream);
static void mark_changed_services (struct gateway *gateway);
static void mark_services (struct gateway *gateway);
static void mark_service (struct gateway *gateway, uint64_t service_id);

void
gateway_streams_start (struct gateway *gateway)
{
  stream_builds_init (&gateway->streams);
  gateway->registry.rebuilt = on_rebuilt;
}

/* Names a stream by the request that brought its first event.  Customer,
   service and model keep others from taking it up. */
static uint64_t
stream_key (const struct gateway_request *request, const char *id)
{
  const struct request_digest_input input = {
    .host = request->service->name,
    .path = id,
    .customer_id = request->customer == NULL ? 0 : request->customer->id,
    .model = request->parsed.model,
  };

  return request_digest (&input);
}

enum refusal
gateway_streams_bind (struct gateway_request *request)
{
  struct gateway *gateway = request->gateway;
  const char *last_event_id = request->parsed.last_event_id;
  enum knowledge knowledge;
  uint64_t key;

  request->awaits_peers = false;
  if (!request->is_stream || last_event_id == NULL || last_event_id[0] == '\0')
    return REFUSAL_NONE;
  key = stream_key (request, request->parsed.resumes);
  knowledge = find_build (request, key);
  if (knowledge == KNOWLEDGE_EXPECTED)
    {
      request->awaits_peers = gateway->streams_awaited = true;
      return REFUSAL_NONE;
    }
  if (request->build != 0
      && registry_has_build (&gateway->registry, request->service->id,
                             request->build))
    {
      request->upstream_build = request->build;
      record (request, key);
      return REFUSAL_NONE;
    }
  LOG (LOG_STREAM_UNKNOWN, request->parsed.id,
       LOG_S ("resumes", request->parsed.resumes),
       LOG_S ("build", request->build == 0 ? "unknown" : "gone"));
  return request->build == 0
                 && (knowledge == KNOWLEDGE_OUT_OF_TOUCH
                     || gateway_stream_store_starting (gateway))
             ? REFUSAL_NOT_READY
             : REFUSAL_NO_BUILD;
}

/* Sets the build of a stream that is known here.  If a service has had a
   single build lately, that began all its streams; but this gateway's own view
   does not show it, as it may have been cut off or have stood still. */
static enum knowledge
find_build (struct gateway_request *request, uint64_t key)
{
  const struct gateway *gateway = request->gateway;
  enum knowledge knowledge;

  request->build = request->parsed.resumes[0] == '\0'
                       ? 0
                       : stream_builds_find (&gateway->streams, key,
                                             gateway_now_ns (gateway));
  if (request->build != 0)
    return KNOWLEDGE_CURRENT;
  knowledge = peers_confirm (request);
  if (knowledge == KNOWLEDGE_CURRENT)
    request->build = find_single_build (request);
  return knowledge;
}

static uint64_t
find_single_build (const struct gateway_request *request)
{
  const struct gateway *gateway = request->gateway;
  uint64_t service_id = request->service->id;
  uint64_t build;

  if (stream_builds_several (&gateway->streams, service_id,
                             gateway_now_ns (gateway)))
    return 0;
  build = registry_single_build (&gateway->registry, service_id);
  return build_records_contradict (&gateway->build_records, service_id, build)
             ? 0
             : build;
}

static enum knowledge
peers_confirm (const struct gateway_request *request)
{
  const struct gateway *gateway = request->gateway;
  uint64_t confirmed_ns = gateway_peers_confirmed_ns (gateway);
  uint64_t now_ns = gateway_now_ns (gateway);

  if (confirmed_ns >= request->arrival_ns)
    return KNOWLEDGE_CURRENT;
  return now_ns - confirmed_ns < INFORMED_MS * CLOCK_NS_PER_MS
                 && now_ns - request->arrival_ns < CONFIRM_MS * CLOCK_NS_PER_MS
             ? KNOWLEDGE_EXPECTED
             : KNOWLEDGE_OUT_OF_TOUCH;
}

/* Beginning with a request may end others. */
void
gateway_streams_decide (struct gateway *gateway)
{
  struct gateway_request *request;

  while (gateway->streams_awaited
         && (request = find_decided (gateway)) != NULL)
    gateway_request_begin (request);
}

static struct gateway_request *
find_decided (struct gateway *gateway)
{
  struct gateway_request *request;
  bool awaited = false;

  DL_FOREACH (gateway->requests, request)
    if (request->awaits_peers)
      {
        awaited = true;
        if (peers_confirm (request) != KNOWLEDGE_EXPECTED)
          break;
      }
  gateway->streams_awaited = awaited;
  return request;
}

void
gateway_streams_event (struct gateway_request *request)
{
  if (request->build != 0)
    return;
  request->build = request->upstream_build;
  if (request->build != BUILD_UNKNOWN && request->route->resumable)
    record (request, stream_key (request, request->parsed.id));
}

static void
record (struct gateway_request *request, uint64_t key)
{
  struct gateway *gateway = request->gateway;
  uint64_t now_ns = gateway_now_ns (gateway);
  const struct stream_builds_row row = {
    .key = key,
    .service_id = request->service->id,
    .build = request->build,
    .upstream_id = request->upstream_id,
    .ttl_ms = STREAM_BUILDS_TTL_MS + request->route->timeout_ms,
  };

  /* The build of the first event may have joined since the last tick. */
  mark_changed_services (gateway);
  stream_builds_put (&gateway->streams, &row, STREAM_BUILDS_OWN, 0, now_ns);
  /* The client may return elsewhere at once. */
  if (stream_builds_several (&gateway->streams, row.service_id, now_ns))
    gateway_streams_send_all (gateway->peers);
}

/* Attempts shortly before reached the upstream as one build or as the other.
 */
static void
on_rebuilt (void *user, const struct registry_upstream *upstream)
{
  struct gateway *gateway = user;
  uint64_t now_ns = gateway_now_ns (gateway);
  uint64_t since_ns = now_ns > ENTRY_LAG_MS * CLOCK_NS_PER_MS
                          ? now_ns - ENTRY_LAG_MS * CLOCK_NS_PER_MS
                          : 0;
  struct gateway_request *request;

  stream_builds_forget (&gateway->streams, upstream->id, since_ns);
  DL_FOREACH (gateway->requests, request)
    if (request->is_stream && request->upstream_id == upstream->id
        && request->attempt_start_ns >= since_ns)
      {
        request->upstream_build = BUILD_UNKNOWN;
        if (request->build != 0)
          request->build = BUILD_UNKNOWN;
      }
}

void
gateway_streams_tick (struct gateway *gateway)
{
  if (gateway->ticks % TICKS_PER_RENEWAL == 0)
    {
      stream_builds_expire (&gateway->streams, gateway_now_ns (gateway));
      mark_services (gateway);
    }
  else
    mark_changed_services (gateway);
}

static void
mark_changed_services (struct gateway *gateway)
{
  if (gateway->streams_generation != gateway->registry.generation)
    mark_services (gateway);
}

static void
mark_services (struct gateway *gateway)
{
  const struct registry_upstream *upstream;
  uint64_t searched_id = 0;
  uint64_t single_build;
  uint64_t service_id;

  gateway->streams_generation = gateway->registry.generation;
  for (upstream = gateway->registry.upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    {
      service_id = upstream->record.service_id;
      if (service_id == searched_id)
        continue;
      searched_id = service_id;
      single_build = registry_single_build (&gateway->registry, service_id);
      if (single_build == 0
          || build_records_contradict (&gateway->build_records, service_id,
                                       single_build))
        mark_service (gateway, service_id);
    }
}

/* When the marker is new, streams that began before it are told, too. */
static void
mark_service (struct gateway *gateway, uint64_t service_id)
{
  uint64_t now_ns = gateway_now_ns (gateway);
  bool is_new = !stream_builds_several (&gateway->streams, service_id, now_ns);
  const struct stream_builds_row row = {
    .key = service_id,
    .service_id = service_id,
    .ttl_ms = STREAM_BUILDS_TTL_MS,
  };

  stream_builds_put (&gateway->streams, &row, STREAM_BUILDS_OWN, 0, now_ns);
  if (is_new)
    stream_builds_touch (&gateway->streams, service_id);
}

/* Exchange. */

void
gateway_streams_send (struct gateway_peers *peers, struct gateway_peer *peer)
{
  const struct gateway *gateway = peers->gateway;
  struct stream_builds_row rows[ROWS_MAX];
  struct message message = { .kind = MESSAGE_STREAMS };
  const struct stream_builds_peer to = {
    .instance_id = peer->instance_id,
    .subscriber = peer->subscribed,
    .everything = peer->streams_sent < peer->streams_new_until,
  };
  uint64_t sent = peer->streams_sent;

  if (sent == gateway->streams.sequence)
    return;
  message.u.streams.rows = rows;
  message.u.streams.count = stream_builds_rows (
      &gateway->streams, &to, &sent, rows, ROWS_MAX, gateway_now_ns (gateway));
  if (message.u.streams.count == 0
      || peernet_send (peers->net, peer->instance_id, &message) == 0)
    peer->streams_sent = sent;
}

/* One hub passes on what this instance began, if it is none itself. */
void
gateway_streams_send_all (struct gateway_peers *peers)
{
  const struct gateway_peer *hub
      = peers->hub ? NULL : gateway_peers_report_hub (peers);
  struct gateway_peer *peer;
  struct gateway_peer *next;

  for (peer = peers->linked_peers; peer != NULL; peer = next)
    {
      next = peer->hh.next;
      if (peers->hub || peer->subscribed || peer == hub)
        gateway_streams_send (peers, peer);
    }
}

void
gateway_streams_receive (struct gateway_peers *peers,
                         const struct gateway_peer *from,
                         const struct message_streams *message)
{
  struct gateway *gateway = peers->gateway;
  size_t i;

  for (i = 0; i < message->count; i++)
    stream_builds_put (&gateway->streams, &message->rows[i],
                       from->subscribed ? STREAM_BUILDS_SUBSCRIBER
                                        : STREAM_BUILDS_HUB,
                       from->instance_id, gateway_now_ns (gateway));
}
