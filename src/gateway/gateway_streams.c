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
/* Binds a stream whose build is unknown: no upstream has it. */
#define BUILD_UNKNOWN UINT64_MAX

static uint64_t stream_key (const struct gateway_request *request,
                            const char *id);
static uint64_t find_build (const struct gateway_request *request,
                            uint64_t key);
static bool may_learn (const struct gateway *gateway);
static void record (struct gateway_request *request, uint64_t key);
static void on_rebuilt (void *user, const struct registry_upstream *upstream);
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
  uint64_t key;

  if (!request->is_stream || last_event_id == NULL || last_event_id[0] == '\0')
    return REFUSAL_NONE;
  key = stream_key (request, request->parsed.resumes);
  request->build = find_build (request, key);
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
  return request->build == 0 && may_learn (gateway) ? REFUSAL_NOT_READY
                                                    : REFUSAL_NO_BUILD;
}

/* Whether a stream that is unknown now may be known in a moment. */
static bool
may_learn (const struct gateway *gateway)
{
  return gateway_stream_store_starting (gateway)
         || !gateway_peers_informed (gateway);
}

/* If a service has had a single build lately, that began all its streams. */
static uint64_t
find_build (const struct gateway_request *request, uint64_t key)
{
  const struct gateway *gateway = request->gateway;
  uint64_t service_id = request->service->id;
  uint64_t now_ns = gateway_now_ns (gateway);
  uint64_t build = request->parsed.resumes[0] == '\0'
                       ? 0
                       : stream_builds_find (&gateway->streams, key, now_ns);

  if (build != 0)
    return build;
  if (stream_builds_several (&gateway->streams, service_id, now_ns)
      || !gateway->peers->members_listed || !gateway_peers_informed (gateway))
    return 0;
  build = registry_single_build (&gateway->registry, service_id);
  return build_records_contradict (&gateway->build_records, service_id, build)
             ? 0
             : build;
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
  const struct registry_upstream *upstream;
  uint64_t marked_id = 0;
  uint64_t single_build;
  uint64_t service_id;

  if (gateway->ticks % TICKS_PER_RENEWAL == 0)
    stream_builds_expire (&gateway->streams, gateway_now_ns (gateway));
  else if (gateway->streams_generation == gateway->registry.generation)
    return;
  gateway->streams_generation = gateway->registry.generation;
  for (upstream = gateway->registry.upstreams; upstream != NULL;
       upstream = upstream->hh.next)
    {
      service_id = upstream->record.service_id;
      if (service_id == marked_id)
        continue;
      single_build = registry_single_build (&gateway->registry, service_id);
      if (single_build != 0
          && !build_records_contradict (&gateway->build_records, service_id,
                                        single_build))
        continue;
      marked_id = service_id;
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
