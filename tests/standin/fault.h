/**
 * @file fault.h
 * Faults that a stand-in injects, into a number of requests or until they are
 * cleared.
 */
#ifndef TESTS_STANDIN_FAULT_H
#define TESTS_STANDIN_FAULT_H

#include <stdbool.h>
#include <stdint.h>

enum fault_kind
{
  FAULT_NONE,
  FAULT_REFUSE,         /**< the listening socket is closed */
  FAULT_RESET,          /**< connection reset after `value` body bytes */
  FAULT_CUT,            /**< connection closed after `value` body bytes */
  FAULT_DELAY,          /**< request starts after `value` ms */
  FAULT_WRONG_LENGTH,   /**< Content-Length is `value` bytes too large */
  FAULT_WRONG_ID,       /**< response with the id of another request */
  FAULT_CROSSED,        /**< correct id, but the body of another request */
  FAULT_DOUBLE,         /**< the request is executed twice */
  FAULT_NOT_RUN,        /**< 503 not-run; the request is not executed */
  FAULT_UNTRUE_NOT_RUN, /**< 503 not-run, but the request is executed */
  FAULT_DRAINING,       /**< responses report that the upstream is draining */
  FAULT_SLOW,           /**< `value` times slower; store: `value` ms */
  FAULT_DOWN,           /**< store: 500 for every request */
  FAULT_LOSE_RESPONSE,  /**< store: applies a write, then resets */
  FAULT_SNAPSHOT,       /**< store: saves a snapshot of its contents */
  FAULT_RESTORE,        /**< store: restores the saved snapshot */
  FAULT_PARTITION,      /**< relay: forwards nothing */
  FAULT_ONE_WAY,        /**< relay: forwards nothing from the target */
  FAULT_MAX
};

#define FAULT_COUNT_UNLIMITED UINT32_MAX

/** The active fault of a listener. */
struct fault
{
  enum fault_kind kind;
  uint32_t count; /**< requests that it still affects */
  uint64_t value; /**< bytes, milliseconds or a factor; see fault_kind */
};

/** @return FAULT_MAX for an unknown name. */
enum fault_kind fault_parse (const char *name);

/** Returns the fault for the next request and decrements its count. */
struct fault fault_take (struct fault *fault);

#endif
