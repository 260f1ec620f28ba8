/**
 * @file peerlink_handshake.c
 * Handshake of a link: hello messages, then proofs of the shared secret.
 */
#include "state/err.h"
#include "transport/peerlink_int.h"
#include <arpa/inet.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>
#include <stdlib.h>
#include <string.h>

#define PROOF_LABEL "cherrylanding peer proof 1"
#define PROOF_BYTES_MAX                                                       \
  (sizeof (PROOF_LABEL) + 1                                                   \
   + 2 * (sizeof (uint32_t) + PEERLINK_HANDSHAKE_BYTES_MAX))

static int receive_hello (struct peerlink *link,
                          const struct message_hello *hello,
                          const uint8_t *data, size_t size);
static int receive_proof (struct peerlink *link,
                          const uint8_t proof[MESSAGE_PROOF_SIZE]);
static int check_hello (const struct peerlink *link,
                        const struct message_hello *hello);
static int send_proof (struct peerlink *link);
static int make_proof (const struct peerlink *link, bool by_dialer,
                       uint8_t proof[MESSAGE_PROOF_SIZE]);
static size_t append_frame (uint8_t *out, size_t offset,
                            const struct peercodec_buffer *frame);
static int copy_frame (struct peercodec_buffer *out, const uint8_t *data,
                       size_t size);

int
peerlink_handshake_start (struct peerlink *link)
{
  struct message message = { .kind = MESSAGE_HELLO };
  int rc;

  message.u.hello = link->config->self;
  message.u.hello.version = MESSAGE_VERSION;
  if (RAND_bytes (message.u.hello.nonce, MESSAGE_NONCE_SIZE) != 1)
    return ERR_IO;
  rc = peercodec_encode (&link->encoder, &message, &link->own_frame);
  if (rc == 0 && link->own_frame.size > PEERLINK_HANDSHAKE_BYTES_MAX)
    rc = ERR_TOO_LARGE;
  return rc == 0 ? peerlink_queue_frame (link, &message) : rc;
}

int
peerlink_handshake_receive (struct peerlink *link,
                            const struct message *message, const uint8_t *data,
                            size_t size)
{
  if (link->state == PEERLINK_AWAIT_HELLO && message->kind == MESSAGE_HELLO)
    return receive_hello (link, &message->u.hello, data, size);
  if (link->state == PEERLINK_AWAIT_PROOF && message->kind == MESSAGE_PROOF)
    return receive_proof (link, message->u.proof);
  return ERR_PROTOCOL;
}

static int
receive_hello (struct peerlink *link, const struct message_hello *hello,
               const uint8_t *data, size_t size)
{
  int rc = check_hello (link, hello);

  if (rc == 0)
    rc = copy_frame (&link->peer_frame, data, size);
  if (rc != 0)
    return rc;
  link->peer = *hello;
  link->state = PEERLINK_AWAIT_PROOF;
  /* The accepting side sends its proof second, so that an unauthenticated
     client gets no HMAC for an offline attack on the secret. */
  return link->dialed ? send_proof (link) : 0;
}

static int
receive_proof (struct peerlink *link, const uint8_t proof[MESSAGE_PROOF_SIZE])
{
  uint8_t expected[MESSAGE_PROOF_SIZE];
  int rc = make_proof (link, !link->dialed, expected);

  if (rc != 0)
    return rc;
  if (CRYPTO_memcmp (expected, proof, sizeof expected) != 0)
    return ERR_AUTH;
  if (!link->dialed)
    rc = send_proof (link);
  if (rc == 0)
    peerlink_handshake_complete (link);
  return rc;
}

static int
check_hello (const struct peerlink *link, const struct message_hello *hello)
{
  const struct message_hello *self = &link->config->self;

  if (hello->version != MESSAGE_VERSION)
    return ERR_PROTOCOL;
  if (strcmp (hello->fleet, self->fleet) != 0)
    return ERR_MISMATCH;
  if (strcmp (hello->instance, self->instance) != 0)
    return 0;
  return hello->incarnation == self->incarnation ? ERR_EXISTS : ERR_CONFLICT;
}

static int
send_proof (struct peerlink *link)
{
  struct message message = { .kind = MESSAGE_PROOF };
  int rc = make_proof (link, link->dialed, message.u.proof);

  return rc == 0 ? peerlink_queue_frame (link, &message) : rc;
}

/** Computes the HMAC over both hellos as encoded on the wire, the dialing
    side's first.  The role of the sender is included, so that a proof cannot
    be reflected to its sender. */
static int
make_proof (const struct peerlink *link, bool by_dialer,
            uint8_t proof[MESSAGE_PROOF_SIZE])
{
  const char *secret = link->config->secret;
  uint8_t signed_data[PROOF_BYTES_MAX];
  unsigned int proof_size = 0;
  size_t size = sizeof PROOF_LABEL;

  memcpy (signed_data, PROOF_LABEL, size);
  signed_data[size++] = by_dialer ? 1 : 0;
  size = append_frame (signed_data, size,
                       link->dialed ? &link->own_frame : &link->peer_frame);
  size = append_frame (signed_data, size,
                       link->dialed ? &link->peer_frame : &link->own_frame);
  if (HMAC (EVP_sha256 (), secret, (int)strlen (secret), signed_data, size,
            proof, &proof_size)
          == NULL
      || proof_size != MESSAGE_PROOF_SIZE)
    return ERR_IO;
  return 0;
}

static size_t
append_frame (uint8_t *out, size_t offset,
              const struct peercodec_buffer *frame)
{
  uint32_t size = htonl ((uint32_t)frame->size);

  memcpy (out + offset, &size, sizeof size);
  memcpy (out + offset + sizeof size, frame->data, frame->size);
  return offset + sizeof size + frame->size;
}

static int
copy_frame (struct peercodec_buffer *out, const uint8_t *data, size_t size)
{
  out->data = malloc (size);
  if (out->data == NULL)
    return ERR_NO_MEMORY;
  memcpy (out->data, data, size);
  out->size = size;
  out->capacity = size;
  return 0;
}
