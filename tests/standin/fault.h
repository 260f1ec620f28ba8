/**
 * @file fault.h
 * Faults that a stand-in is told to show, for its next requests or until
 * they are cleared.
 */
#ifndef TESTS_STANDIN_FAULT_H
#define TESTS_STANDIN_FAULT_H

#include <stdbool.h>
#include <stdint.h>

enum fault_kind
{
  FAULT_NONE,
  FAULT_REFUSE,         /**< listener closed */
  FAULT_RESET,          /**< connection reset after `value` body bytes */
  FAULT_CUT,            /**< connection closed after `value` body bytes */
  FAULT_DELAY,          /**< request starts `value` ms late */
  FAULT_WRONG_LENGTH,   /**< Content-Length states `value` bytes too many */
  FAULT_WRONG_ID,       /**< response names another request */
  FAULT_CROSSED,        /**< right id, body of another request */
  FAULT_DOUBLE,         /**< the request runs twice */
  FAULT_NOT_RUN,        /**< 503, refused before running */
  FAULT_UNTRUE_NOT_RUN, /**< 503 not-run of a request that ran */
  FAULT_DRAINING,       /**< responses say that the upstream is draining */
  FAULT_SLOW,           /**< `value` times slower */
  FAULT_DOWN,           /**< store: 500 to each call */
  FAULT_LOSE_ANSWER,    /**< store: applied, then the connection is reset */
  FAULT_SNAPSHOT,       /**< store: remembers its contents */
  FAULT_RESTORE,        /**< store: returns to the contents remembered */
  FAULT_PARTITION,      /**< relay: bytes stand still, both ways */
  FAULT_ONE_WAY,        /**< relay: what the far side says stands still */
  FAULT_MAX
};

#define FAULT_COUNT_ENDLESS UINT32_MAX

/** Faults in force at one listener; one kind at a time. */
struct fault
{
  enum fault_kind kind;
  uint32_t count; /**< requests still to be hit */
  uint64_t value; /**< bytes, ms or a factor, as the kind says */
};

/** @return FAULT_MAX for an unknown name. */
enum fault_kind fault_parse (const char *name);

/** Takes the fault that hits the next request. */
struct fault fault_take (struct fault *fault);

#endif
