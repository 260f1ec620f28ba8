/**
 * @file peernet.h
 * Links to all peers of an instance: a listener, dialing with exponential
 * backoff and jitter, and one link to each peer.  Each side of a new link
 * sends addresses of some of its other peers, so that one working address is
 * enough to join a fleet.
 */
#ifndef TRANSPORT_PEERNET_H
#define TRANSPORT_PEERNET_H

#include "coordination/message.h"
#include "transport/clock.h"
#include "transport/peerlink.h"
#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PEERNET_TARGETS_MAX        4096  /**< addresses in the table */
#define PEERNET_BACKOFF_MIN_MS     50    /**< before the second dial */
#define PEERNET_BACKOFF_MAX_MS     2000  /**< between dials */
#define PEERNET_ADDRESSES_SENT_MAX 64    /**< addresses sent on a new link */
#define PEERNET_LEARNED_DELAY_MS   1000  /**< delay of a learned address */
#define PEERNET_ADDRESS_TTL_MS     60000 /**< lifetime without a link */

struct peernet;

struct peernet_events
{
  /** A peer's link is up, or was replaced by a new one. */
  void (*up) (void *user, const struct message_hello *hello);
  void (*message) (void *user, uint64_t instance_id,
                   const struct message *message);
  void (*down) (void *user, uint64_t instance_id, int error);
  /** A connection failed before its peer was authenticated. */
  void (*rejected) (void *user, const char *address, int error);
};

struct peernet_config
{
  struct event_base *base;
  const struct clock *clock;
  struct message_hello self; /**< its address is set by peernet_new */
  const char *listen_address;
  const char *advertised_address; /**< sent to peers; NULL: the bound one */
  /** Dial only addresses given to peernet_add_address; neither learn addresses
     from peers nor send them any. */
  bool added_addresses_only;
  const char *secret;
  uint32_t handshake_ms;
  uint32_t idle_ms;
  struct loop_control *control; /**< of the event loop; may be NULL */
  const struct peernet_events *events;
  void *user;
};

/** Starts to listen, and to dial the addresses added later.
    @return 0, an error of sock_listen, ERR_IO or ERR_NO_MEMORY. */
int peernet_new (const struct peernet_config *config, struct peernet **net);
void peernet_free (struct peernet *net);

/** Adds an address to dial, or refreshes it.
    @param seed never remove the address for lack of a link.
    @return 0, ERR_INVALID, ERR_FULL, ERR_NO_MEMORY. */
int peernet_add_address (struct peernet *net, const char *address, bool seed);

/** Removes an address and closes the link that was dialed there. */
void peernet_remove_address (struct peernet *net, const char *address);

/** Sends a message to a peer.
    @return 0, ERR_NOT_FOUND without a link, or an error of peerlink_send. */
int peernet_send (struct peernet *net, uint64_t instance_id,
                  const struct message *message);

/** @return the address that this instance advertises to peers. */
const char *peernet_address (const struct peernet *net);
/** @return the number of links that are up. */
size_t peernet_link_count (const struct peernet *net);
struct peerlink_counters *peernet_counters (struct peernet *net);

#endif
