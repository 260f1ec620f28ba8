/**
 * @file peernet_int.h
 * Tables of links and of addresses to dial.
 */
#ifndef TRANSPORT_PEERNET_INT_H
#define TRANSPORT_PEERNET_INT_H

#include "transport/peernet.h"
#include <stdbool.h>
#include <uthash.h>

/** An address to dial. */
struct peernet_target
{
  char address[CATALOG_ADDRESS_SIZE];
  bool seed;
  bool self;        /**< leads back to this instance */
  uint64_t peer_id; /**< instance last met there; 0 for none */
  uint64_t peer_incarnation;
  uint64_t dial_ns; /**< not before */
  uint64_t offered_ns;
  uint32_t backoff_ms;
  UT_hash_handle hh;
};

/** A connection, up or not. */
struct peernet_slot
{
  struct peerlink *link;
  struct peernet_target *target; /**< that was dialed; NULL when accepted */
  uint64_t peer_id;              /**< 0 until the link is up */
  struct peernet_slot *prev;
  struct peernet_slot *next;
  UT_hash_handle hh; /**< of links that are up, by peer_id */
};

struct peernet
{
  struct peernet_config config;
  struct peerlink_config link_config;
  struct peerlink_counters counters;
  struct peerlink_events link_events;
  int fd;
  struct event *accept_event;
  struct event *dial_event;
  uint64_t random; /**< state of the jitter */
  struct peernet_target *targets;
  struct peernet_slot *slots; /**< all connections */
  struct peernet_slot *peers; /**< uthash: those that are up */
};

/** Dials every target whose time has come. */
void peernet_dial_due (struct peernet *net);
/** Notes an address that a peer told.  It is not dialed at once: it may well
    be that of an instance which a seed leads to. */
void peernet_hint (struct peernet *net, const char *address);
/** Adds a connection. @return NULL without memory; the socket is closed. */
struct peernet_slot *peernet_slot_new (struct peernet *net, int fd,
                                       struct peernet_target *target);
/** Ends a connection; a link that was up is told to be down. */
void peernet_slot_end (struct peernet *net, struct peernet_slot *slot);
/** The connection to a target ended, or could not be made. */
void peernet_target_failed (struct peernet *net,
                            struct peernet_target *target);
/** The connection to a target is up. */
void peernet_target_up (struct peernet_target *target,
                        const struct message_hello *hello);

#endif
