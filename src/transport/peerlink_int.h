/**
 * @file peerlink_int.h
 * State of a link, shared by framing (peerlink.c) and handshake
 * (peerlink_handshake.c).
 */
#ifndef TRANSPORT_PEERLINK_INT_H
#define TRANSPORT_PEERLINK_INT_H

#include "protocol/peercodec.h"
#include "transport/peerlink.h"
#include <event2/buffer.h>

enum peerlink_state
{
  PEERLINK_AWAIT_HELLO, /**< waiting for the peer's hello */
  PEERLINK_AWAIT_PROOF, /**< waiting for the peer's proof */
  PEERLINK_UP,
  PEERLINK_STATE_MAX
};

struct peerlink
{
  const struct peerlink_config *config;
  int fd;
  bool dialed;
  bool closed;   /**< freed once `callback_depth` is 0 */
  bool extended; /**< got time for input that is unread */
  bool queued; /**< a frame was queued since the last peerlink_keep_alive() */
  int error;   /**< reason for the failure; 0 if none */
  uint32_t callback_depth;
  enum peerlink_state state;
  struct message_hello peer; /**< hello of the peer */
  struct evbuffer *input;
  struct evbuffer *output;
  struct event *read_event;
  struct event *write_event;
  struct event *timer; /**< handshake timeout, then idle timeout */
  struct peercodec_encoder encoder;
  struct peercodec_decoder decoder;
  struct peercodec_buffer scratch;
  struct peercodec_buffer own_frame;  /**< hello as sent */
  struct peercodec_buffer peer_frame; /**< hello as received */
};

/** Queues one frame in any state. @return 0 or an error. */
int peerlink_queue_frame (struct peerlink *link,
                          const struct message *message);
/** Enters PEERLINK_UP after both proofs. */
void peerlink_handshake_complete (struct peerlink *link);

/** Sends this side's hello. @return 0 or an error. */
int peerlink_handshake_start (struct peerlink *link);

/** Handles one frame of the handshake.
    @return 0, or the error to close the link with. */
int peerlink_handshake_receive (struct peerlink *link,
                                const struct message *message,
                                const uint8_t *data, size_t size);

#endif
