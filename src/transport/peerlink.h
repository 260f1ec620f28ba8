/**
 * @file peerlink.h
 * One connection between two instances.  Each frame is preceded by its length,
 * 4 bytes in big-endian order; an empty frame only shows that its sender is
 * alive.  Each side sends a hello with a fresh nonce, and then proves that it
 * knows the fleet's secret by an HMAC-SHA-256 over both hellos, the dialing
 * side first.  No other message is accepted before that proof.  Later frames
 * are neither encrypted nor signed: the network between instances is trusted
 * not to tamper with a connection.
 */
#ifndef TRANSPORT_PEERLINK_H
#define TRANSPORT_PEERLINK_H

#include "coordination/message.h"
#include "transport/cpumeter.h"
#include <event2/event.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define PEERLINK_HANDSHAKE_BYTES_MAX 1024    /**< of a handshake frame */
#define PEERLINK_OUTPUT_BYTES_MAX    8388608 /**< unsent, until failure */

struct peerlink;

/** Traffic by message kind; bytes include the length prefix. */
struct peerlink_counters
{
  uint64_t frames_in[MESSAGE_KIND_MAX];
  uint64_t frames_out[MESSAGE_KIND_MAX];
  uint64_t bytes_in[MESSAGE_KIND_MAX];
  uint64_t bytes_out[MESSAGE_KIND_MAX];
  struct cpumeter cpu; /**< CPU time for links and their messages */
};

/** Callbacks of a link; each of them may close the link. */
struct peerlink_events
{
  /** The handshake is complete and the peer is authenticated. */
  void (*up) (void *user, struct peerlink *link);
  void (*message) (void *user, struct peerlink *link,
                   const struct message *message);
  /** The link failed and must be closed. `error`: ERR_AUTH wrong proof,
      ERR_MISMATCH another fleet, ERR_PROTOCOL, ERR_TOO_LARGE, ERR_EXISTS
      connected to itself, ERR_CONFLICT the peer has this instance's name,
      ERR_TIMEOUT, ERR_FULL the peer does not read, ERR_REFUSED, ERR_RESET. */
  void (*down) (void *user, struct peerlink *link, int error);
};

/** Configuration shared by all links of an instance; must outlive them. */
struct peerlink_config
{
  struct event_base *base;
  struct message_hello self; /**< each link generates its own nonce */
  const char *secret;
  uint32_t handshake_ms; /**< time limit of the handshake */
  uint32_t idle_ms;      /**< time without input until the link fails */
  size_t output_bytes_max;
  struct peerlink_counters *counters;
  struct loop_control *control; /**< of the event loop; may be NULL */
  const struct peerlink_events *events;
  void *user;
};

/** Takes ownership of a connected or connecting socket, which is closed on
    failure.
    @param dialed true if this side opens the connection.
    @return a link, or NULL if out of memory or if the hello cannot be sent. */
struct peerlink *peerlink_open (const struct peerlink_config *config, int fd,
                                bool dialed);

/** Closes a link at once; no callback follows. */
void peerlink_close (struct peerlink *link);

/** Queues a message.
    @return 0, ERR_RESET on a link that is not up, ERR_FULL if the peer does
    not read, or an encoding error.  After an error on a link that is up,
    `down` is called. */
int peerlink_send (struct peerlink *link, const struct message *message);

/** Queues an empty frame if nothing was queued since the last call.  The peer
    expects input within `idle_ms`, so the owner calls this at a third of it.
 */
void peerlink_keep_alive (struct peerlink *link);

/** The peer's hello; valid once the link is up. */
const struct message_hello *peerlink_hello (const struct peerlink *link);
bool peerlink_is_up (const struct peerlink *link);
/** True if this side opened the connection. */
bool peerlink_dialed (const struct peerlink *link);

#endif
