/**
 * @file peercodec.h
 * Encodes and decodes messages between instances as protobuf.  Each direction
 * of a link has a dictionary of identifier pairs, and counters of the sender's
 * own accounts are sent as increments, so both ends must process all frames of
 * a link in order.  The decoder treats its input as untrusted and checks every
 * length, count and range.
 */
#ifndef PROTOCOL_PEERCODEC_H
#define PROTOCOL_PEERCODEC_H

#include "coordination/message.h"
#include <stddef.h>
#include <stdint.h>

#define PEERCODEC_ITEMS_MAX    65536  /**< maximum entries of one message */
#define PEERCODEC_PAIRS_MAX    65536  /**< maximum pairs in a dictionary */
#define PEERCODEC_LEASE_MS_MAX 600000 /**< longest lease accepted */

/** Buffer for encoded frames.  Zero-initialise; grows as needed and can be
    reused. */
struct peercodec_buffer
{
  uint8_t *data;
  size_t size;     /**< bytes used */
  size_t capacity; /**< bytes allocated */
};

/** Encoder of one direction of a link.  Zero-initialise. */
struct peercodec_encoder
{
  struct ledger_origin sender;          /**< set once the link is up */
  uint64_t receiver_incarnation;        /**< likewise */
  struct peercodec_encoder_pair *pairs; /**< private: dictionary, uthash */
};

/** Decoder of one direction of a link.  Zero-initialise. */
struct peercodec_decoder
{
  struct ledger_origin sender;          /**< set once the link is up */
  uint64_t receiver_incarnation;        /**< likewise */
  struct peercodec_decoder_pair *pairs; /**< private: dictionary by index */
  size_t pair_count;
  size_t pair_capacity;
};

void peercodec_buffer_finish (struct peercodec_buffer *buffer);
void peercodec_encoder_finish (struct peercodec_encoder *encoder);
void peercodec_decoder_finish (struct peercodec_decoder *decoder);

/** Replaces the buffer's content with the encoded message.  After an error the
    encoder must not be used any more, as the dictionaries may differ.
    @return 0, ERR_INVALID, ERR_TOO_LARGE above MESSAGE_FRAME_MAX, ERR_FULL
    when the dictionary is full, ERR_NO_MEMORY. */
int peercodec_encode (struct peercodec_encoder *encoder,
                      const struct message *message,
                      struct peercodec_buffer *buffer);

/** Decodes the content of one frame.  On success the caller releases the
    message with message_finish().  On failure there is nothing to release, and
    the decoder must not be used any more.
    @return 0, ERR_PROTOCOL, ERR_TOO_LARGE, ERR_NO_MEMORY. */
int peercodec_decode (struct peercodec_decoder *decoder, const uint8_t *data,
                      size_t size, struct message *message);

#endif
