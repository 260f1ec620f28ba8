/**
 * @file peercodec.h
 * Translates messages between instances to and from protobuf.  Each direction
 * of a link has a dictionary of identifiers, and sends a sender's own accounts
 * as increases, so both ends must see all frames of a link in order.
 * Decoding trusts nothing: every length, count and range is checked.
 */
#ifndef PROTOCOL_PEERCODEC_H
#define PROTOCOL_PEERCODEC_H

#include "coordination/message.h"
#include <stddef.h>
#include <stdint.h>

#define PEERCODEC_ITEMS_MAX    65536  /**< items of one message */
#define PEERCODEC_NAMES_MAX    65536  /**< pairs in a dictionary */
#define PEERCODEC_LEASE_MS_MAX 600000 /**< longest lease accepted */

/** Encoded bytes.  Zero-initialise; grows as needed and is used again. */
struct peercodec_buffer
{
  uint8_t *data;
  size_t size;     /**< bytes used */
  size_t capacity; /**< bytes allocated */
};

/** Sending end of one direction.  Zero-initialise. */
struct peercodec_encoder
{
  struct ledger_origin sender;   /**< set once the link is up */
  uint64_t receiver_incarnation; /**< likewise */
  struct peercodec_name *names;  /**< uthash, private */
};

/** Receiving end of one direction.  Zero-initialise. */
struct peercodec_decoder
{
  struct ledger_origin sender;   /**< set once the link is up */
  uint64_t receiver_incarnation; /**< likewise */
  struct peercodec_row *rows;    /**< private: dictionary by index */
  size_t row_count;
  size_t row_capacity;
};

void peercodec_buffer_finish (struct peercodec_buffer *buffer);
void peercodec_encoder_finish (struct peercodec_encoder *encoder);
void peercodec_decoder_finish (struct peercodec_decoder *decoder);

/** Replaces the buffer's content by the encoded message.  After an error the
    direction cannot be used any more.
    @return 0, ERR_INVALID, ERR_TOO_LARGE above MESSAGE_FRAME_MAX, ERR_FULL
    when the dictionary is, ERR_NO_MEMORY. */
int peercodec_encode (struct peercodec_encoder *encoder,
                      const struct message *message,
                      struct peercodec_buffer *buffer);

/** Decodes one frame's content. On success the caller ends the message with
    message_finish; on failure there is nothing to release, and the direction
    cannot be used any more.
    @return 0, ERR_PROTOCOL, ERR_TOO_LARGE, ERR_NO_MEMORY. */
int peercodec_decode (struct peercodec_decoder *decoder, const uint8_t *data,
                      size_t size, struct message *message);

#endif
