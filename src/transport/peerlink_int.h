/**
 * @file peerlink_int.h
 * A link's state, shared by its framing and its handshake.
 */
#ifndef TRANSPORT_PEERLINK_INT_H
#define TRANSPORT_PEERLINK_INT_H

#include "protocol/peercodec.h"
#include "transport/peerlink.h"
#include <event2/buffer.h>

enum peerlink_step
{
  PEERLINK_GREETING, /**< waits for the peer's hello */
  PEERLINK_PROVING,  /**< waits for the peer's proof */
  PEERLINK_UP,
  PEERLINK_STEP_MAX
};

struct peerlink
{
  const struct peerlink_config *config;
  int fd;
  bool dialed;
  bool closed; /**< freed once `busy` is 0 */
  int error;   /**< why it failed; 0 while it works */
  uint32_t busy;
  enum peerlink_step step;
  struct message_hello peer;
  struct evbuffer *input;
  struct evbuffer *output;
  struct event *read_event;
  struct event *write_event;
  struct event *timer; /**< handshake, then silence of the peer */
  struct peercodec_encoder encoder;
  struct peercodec_decoder decoder;
  struct peercodec_buffer scratch;
  struct peercodec_buffer own_frame;  /**< hello as sent */
  struct peercodec_buffer peer_frame; /**< hello as received */
};

int peerlink_write (struct peerlink *link, const struct message *message);
void peerlink_set_up (struct peerlink *link);

/** Sends this side's hello. @return 0 or an error. */
int peerlink_shake_start (struct peerlink *link);

/** Handles one frame of the handshake. @return 0 or the error to end with. */
int peerlink_shake (struct peerlink *link, const struct message *message,
                    const uint8_t *data, size_t size);

#endif
