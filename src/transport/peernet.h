/**
 * @file peernet.h
 * Links to all peers of an instance: a listener, dialing with jittered
 * backoff, and one link for each pair of instances.  Each side of a new link
 * tells the other where some of its peers are, so that one address that works
 * is enough to join a fleet.
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

#define PEERNET_TARGETS_MAX    4096  /**< addresses known */
#define PEERNET_BACKOFF_MIN_MS 50    /**< before the second dial */
#define PEERNET_BACKOFF_MAX_MS 2000  /**< between dials */
#define PEERNET_HINTS_MAX      64    /**< addresses told to who joins */
#define PEERNET_HINT_WAIT_MS   1000  /**< until an address told is dialed */
#define PEERNET_FORGET_MS      60000 /**< an offered address without a link */

struct peernet;

struct peernet_events
{
  /** A peer's link is up, or was replaced by a new one. */
  void (*up) (void *user, const struct message_hello *hello);
  void (*message) (void *user, uint64_t instance_id,
                   const struct message *message);
  void (*down) (void *user, uint64_t instance_id, int error);
  /** A connection ended before its peer had proved itself. */
  void (*rejected) (void *user, const char *address, int error);
};

struct peernet_config
{
  struct event_base *base;
  const struct clock *clock;
  struct message_hello self; /**< its address is filled in after listening */
  const char *listen_address;
  const char *advertised_address; /**< told to peers; NULL: the one bound */
  bool offered_only; /**< dials what was offered, and learns no addresses */
  const char *secret;
  uint32_t handshake_ms;
  uint32_t idle_ms;
  const struct peernet_events *events;
  void *user;
};

/** Listens, and dials what is offered from then on.
    @return 0 or an error of sock_listen, ERR_NO_MEMORY. */
int peernet_new (const struct peernet_config *config, struct peernet **net);
void peernet_free (struct peernet *net);

/** Notes an address to dial. `seed`: never forgotten.
    @return 0, ERR_INVALID, ERR_FULL, ERR_NO_MEMORY. */
int peernet_offer (struct peernet *net, const char *address, bool seed);

/** Forgets an address that was offered, and ends the link dialed there. */
void peernet_withdraw (struct peernet *net, const char *address);

/** Sends to a peer. @return 0, ERR_NOT_FOUND without a link, or an error of
    peerlink_send. */
int peernet_send (struct peernet *net, uint64_t instance_id,
                  const struct message *message);

/** Address that this instance accepts peers at. */
const char *peernet_address (const struct peernet *net);
/** Links that are up. */
size_t peernet_links (const struct peernet *net);
struct peerlink_counters *peernet_counters (struct peernet *net);

#endif
