/**
 * @file pace.h
 * How fast a service's engines read, learned from how long prompts took to
 * begin: a fixed time, and a time for each token ahead and of the prompt
 * itself.  Starts from what the operator states of all engines together.
 */
#ifndef STATE_PACE_H
#define STATE_PACE_H

#include <stdbool.h>
#include <stdint.h>

/** Zero-initialise. */
struct pace
{
  double tokens_per_ms; /**< of one engine; 0: not known yet */
  bool stated;          /**< by the operator: not learned */
  double begin_ms;      /**< of a prompt without tokens */
};

/** Starts from the tokens a second of all engines; 0 when not stated. */
void pace_init (struct pace *pace, uint64_t tokens_per_s, uint32_t engines);
/** A prompt began after a while, with so many tokens to read until then. */
void pace_observe (struct pace *pace, uint64_t tokens, uint64_t duration_ns);
/** Time until a prompt begins. */
uint64_t pace_begin_ns (const struct pace *pace, uint64_t tokens);
/** Tokens that an engine reads in a time. */
uint64_t pace_tokens (const struct pace *pace, uint32_t duration_ms);

#endif
