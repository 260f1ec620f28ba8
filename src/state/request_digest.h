/**
 * @file request_digest.h
 * Digest of what an upstream is asked for: equal for a request that is sent
 * again, whatever its identifier, its deadline and the encoding of its body.
 * It cannot be made to match another customer's request.
 */
#ifndef STATE_REQUEST_DIGEST_H
#define STATE_REQUEST_DIGEST_H

#include <stddef.h>
#include <stdint.h>

/** What identifies a request; text may be NULL. */
struct request_digest_input
{
  const char *method;
  const char *host; /**< compared without its port and ignoring case */
  const char *path; /**< with the query */
  uint64_t customer_id;
  const void *body;
  size_t body_size; /**< bytes */
  /** Model and identifiers of the parts of a prompt, which count if there is
      no body: otherwise they only describe it. */
  const char *model;
  const uint64_t *part_ids;
  size_t part_count;
};

/** @return the first eight bytes of a SHA-256; never 0. */
uint64_t request_digest (const struct request_digest_input *input);

#endif
