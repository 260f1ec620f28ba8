/**
 * @file stream_builds.h
 * Which build of a service's upstreams began a stream.  What two builds write
 * does not fit together, so a stream that breaks off goes on at the build that
 * began it, whichever instance its client returns to.
 *
 * While all upstreams of a service have one build, any of them can continue
 * its streams, and instances exchange nothing.  A marker of the service
 * records that it has, or lately had, several builds: then the streams are
 * exchanged, those that had begun before included.
 */
#ifndef STATE_STREAM_BUILDS_H
#define STATE_STREAM_BUILDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uthash.h>

#define STREAM_BUILDS_TTL_MS                                                  \
  60000 /**< from the last event until a client no longer returns */
#define STREAM_BUILDS_MAX 65536 /**< entries; the oldest make room */

/** Where an entry came from; is_for() decides by it which peers get it. */
enum stream_builds_source
{
  STREAM_BUILDS_OWN,
  STREAM_BUILDS_SUBSCRIBER, /**< from an instance that this one is a hub of */
  STREAM_BUILDS_HUB,
  STREAM_BUILDS_SOURCE_MAX
};

/** What is exchanged: the build of a stream; or, with build 0, a marker of a
    service. */
struct stream_builds_row
{
  uint64_t key; /**< digest that names the stream; or the service's id */
  uint64_t service_id;
  uint64_t build;       /**< hash */
  uint64_t upstream_id; /**< that began the stream */
  uint32_t ttl_ms;
};

struct stream_builds_entry
{
  struct stream_builds_row row; /**< its ttl_ms is unused */
  uint64_t known_ns;            /**< since when */
  uint64_t expiry_ns;
  uint64_t sequence; /**< of its last change; see stream_builds_rows() */
  enum stream_builds_source source;
  uint64_t source_id; /**< instance that sent it; 0: own */
  UT_hash_handle hh;
};

struct stream_builds
{
  struct stream_builds_entry *entries; /**< uthash by key, last changed last */
  uint64_t sequence;                   /**< of the last change */
  uint64_t several_until_ns;           /**< end of the last marker */
};

/** Peer that rows are sent to. */
struct stream_builds_peer
{
  uint64_t instance_id;
  bool subscriber; /**< of this instance; otherwise it is a hub */
  bool everything; /**< its link is new, so it may know nothing */
};

void stream_builds_init (struct stream_builds *table);
void stream_builds_finish (struct stream_builds *table);

/** Adds or renews an entry.  A stream whose build is already known keeps it.
    @param source_id  instance that sent it; 0: own. */
void stream_builds_put (struct stream_builds *table,
                        const struct stream_builds_row *row,
                        enum stream_builds_source source, uint64_t source_id,
                        uint64_t now_ns);
/** Build of a stream; 0 if it is unknown. */
uint64_t stream_builds_find (const struct stream_builds *table, uint64_t key,
                             uint64_t now_ns);
/** Whether a service has, or lately had, several builds. */
bool stream_builds_several (const struct stream_builds *table,
                            uint64_t service_id, uint64_t now_ns);
/** The same of any service. */
bool stream_builds_any_several (const struct stream_builds *table,
                                uint64_t now_ns);
/** Forgets streams that an upstream began after a time: it may have started
    again before its entry said so. */
void stream_builds_forget (struct stream_builds *table, uint64_t upstream_id,
                           uint64_t since_ns);

/** Rows for a peer that changed after a sequence number: markers, and streams
    of services that have a marker.
    @param rows      room for `max`.
    @param sequence  the number; set to that of the last entry considered.
    @return the number of rows. */
size_t stream_builds_rows (const struct stream_builds *table,
                           const struct stream_builds_peer *peer,
                           uint64_t *sequence, struct stream_builds_row *rows,
                           size_t max, uint64_t now_ns);
/** Marks the streams of a service as changed, so that they are sent again. */
void stream_builds_touch (struct stream_builds *table, uint64_t service_id);

void stream_builds_expire (struct stream_builds *table, uint64_t now_ns);

#endif
