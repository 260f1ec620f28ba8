/**
 * @file peernet_int.h
 * Tables of connections and of addresses to dial.
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
  bool seed;        /**< kept without a link */
  bool self;        /**< is an address of this instance */
  uint64_t peer_id; /**< instance last reached there; 0: none */
  uint64_t peer_incarnation;
  uint64_t next_dial_ns; /**< earliest time of the next dial */
  uint64_t refreshed_ns; /**< time of the last use or addition */
  uint32_t backoff_ms;
  UT_hash_handle hh;
};

/** A connection in handshake or up. */
struct peernet_conn
{
  struct peerlink *link;
  struct peernet_target *target; /**< NULL if accepted */
  uint64_t peer_id;              /**< 0 until the link is up */
  struct peernet_conn *prev;
  struct peernet_conn *next;
  UT_hash_handle hh; /**< in peernet.peers, by peer_id */
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
  uint64_t keep_alive_ns; /**< when links were last kept alive */
  uint64_t jitter_state;  /**< random number generator of the jitter */
  struct peernet_target *targets;
  struct peernet_conn *conns; /**< all connections */
  struct peernet_conn *peers; /**< hash table of those that are up */
};

/** Dials every target that is due, and removes expired targets. */
void peernet_dial_due (struct peernet *net);
/** Adds an address learned from a peer.  It is dialed after a delay, since it
    may belong to an instance that a seed leads to. */
void peernet_add_learned (struct peernet *net, const char *address);
/** Adds a connection for a socket; `target` is NULL if it was accepted.
    @return NULL on failure; the socket is then closed. */
struct peernet_conn *peernet_conn_new (struct peernet *net, int fd,
                                       struct peernet_target *target);
/** Closes a connection; calls `down` if its link was up. */
void peernet_conn_close (struct peernet *net, struct peernet_conn *conn);
/** Schedules the next dial after a connection to a target failed. */
void peernet_target_failed (struct peernet *net,
                            struct peernet_target *target);
/** Records the peer reached at a target and resets the backoff. */
void peernet_target_connected (struct peernet_target *target,
                               const struct message_hello *hello);

#endif
