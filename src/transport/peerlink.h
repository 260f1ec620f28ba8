/**
 * @file peerlink.h
 * One connection between two instances: 4-byte big-endian length, then a
 * frame.  Each side sends a hello with a fresh nonce; each then proves that
 * it holds the fleet's secret by an HMAC-SHA-256 over both hellos, the
 * dialing side first.  Nothing else is read before that proof.  Frames after
 * it are neither encrypted nor signed: the network between instances is
 * trusted not to alter a connection.
 */
#ifndef TRANSPORT_PEERLINK_H
#define TRANSPORT_PEERLINK_H

#include "coordination/message.h"
#include "transport/cpumeter.h"
#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PEERLINK_HANDSHAKE_BYTES_MAX 1024 /**< of a frame before the proof */
#define PEERLINK_OUTPUT_BYTES_MAX    8388608 /**< unsent, until the cut */

struct peerlink;

/** Traffic, the length prefix included. */
struct peerlink_counters
{
  uint64_t frames_in[MESSAGE_KIND_MAX];
  uint64_t frames_out[MESSAGE_KIND_MAX];
  uint64_t bytes_in[MESSAGE_KIND_MAX];
  uint64_t bytes_out[MESSAGE_KIND_MAX];
  struct cpumeter cpu; /**< spent on links and their messages */
};

/** Callbacks of a link; it may be closed inside any of them. */
struct peerlink_events
{
  /** The peer has proved itself. */
  void (*up) (void *user, struct peerlink *link);
  void (*message) (void *user, struct peerlink *link,
                   const struct message *message);
  /** The link ended by itself; close it. `error`: ERR_AUTH wrong proof,
      ERR_MISMATCH another fleet, ERR_PROTOCOL, ERR_TOO_LARGE, ERR_EXISTS
      connected to itself, ERR_CONFLICT the peer has this instance's name,
      ERR_TIMEOUT, ERR_FULL the peer does not read, ERR_REFUSED, ERR_RESET. */
  void (*down) (void *user, struct peerlink *link, int error);
};

/** Shared by all links of an instance; must outlive them. */
struct peerlink_config
{
  struct event_base *base;
  struct message_hello self; /**< its nonce is made anew for each link */
  const char *secret;
  uint32_t handshake_ms; /**< from open to the proof */
  uint32_t idle_ms;      /**< without a byte received, until the cut */
  size_t output_bytes_max;
  struct peerlink_counters *counters;
  const struct peerlink_events *events;
  void *user;
};

/** Takes over a connected or connecting socket; the socket is closed on
    failure too. @return a link, or NULL without memory. */
struct peerlink *peerlink_open (const struct peerlink_config *config, int fd,
                                bool dialed);

/** Ends a link at once; no callback follows. */
void peerlink_close (struct peerlink *link);

/** Queues a message. @return 0, ERR_RESET on a link that is not up, ERR_FULL
    when the peer does not read, or an encoding error; `down` follows. */
int peerlink_send (struct peerlink *link, const struct message *message);

/** The peer's hello; valid once the link is up. */
const struct message_hello *peerlink_hello (const struct peerlink *link);
bool peerlink_is_up (const struct peerlink *link);
/** Whether this side opened the connection. */
bool peerlink_dialed (const struct peerlink *link);

#endif
