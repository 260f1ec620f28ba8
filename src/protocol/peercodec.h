/**
 * @file peercodec.h
 * Translates messages between instances to and from protobuf.  Decoding
 * trusts nothing: every length, count and range is checked.
 */
#ifndef PROTOCOL_PEERCODEC_H
#define PROTOCOL_PEERCODEC_H

#include "coordination/message.h"
#include <stddef.h>
#include <stdint.h>

#define PEERCODEC_ITEMS_MAX    65536  /**< items of one message */
#define PEERCODEC_LEASE_MS_MAX 600000 /**< longest lease accepted */

/** Encoded bytes.  Zero-initialise; grows as needed and is used again. */
struct peercodec_buffer
{
  uint8_t *data;
  size_t size;     /**< bytes used */
  size_t capacity; /**< bytes allocated */
};

void peercodec_buffer_finish (struct peercodec_buffer *buffer);

/** Replaces the buffer's content by the encoded message.
    @return 0, ERR_INVALID, ERR_TOO_LARGE above MESSAGE_FRAME_MAX,
    ERR_NO_MEMORY. */
int peercodec_encode (const struct message *message,
                      struct peercodec_buffer *buffer);

/** Decodes one frame's content. On success the caller ends the message with
    message_finish; on failure there is nothing to release.
    @return 0, ERR_PROTOCOL, ERR_TOO_LARGE, ERR_NO_MEMORY. */
int peercodec_decode (const uint8_t *data, size_t size,
                      struct message *message);

#endif
