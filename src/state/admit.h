/**
 * @file admit.h
 * How much an engine may have to read when one more prompt is sent there.
 *
 * Answers floods: engines serve in order of arrival, so what is sent early is
 * out of order for good.  An engine is handed what it begins soon; when the
 * fleet is crowded, a customer that has had more than those that wait finds
 * less room and one that has had less finds more, so that the poor come first
 * at every gateway, even those that come to one gateway only, while the rich
 * are sent on by all.  A prompt that leaves
 * its home has its start read again, which takes time from others: only an
 * engine with next to nothing to read takes it, while the fleet is not
 * crowded.
 */
#ifndef STATE_ADMIT_H
#define STATE_ADMIT_H

#include "state/pace.h"
#include "state/roster.h"
#include <stdbool.h>
#include <stdint.h>

/** Thousandths of what would be read again that a request rather waits for. */
#define ADMIT_PATIENT_PERMILLE   6000
#define ADMIT_IMPATIENT_PERMILLE 500

/** Part of the room of a service's engines that is taken. */
struct admit_room
{
  double taken_tokens;
  double room_tokens;
};

/** Adds the engines of a service. */
void admit_count (struct admit_room *room, const struct roster *roster,
                  uint64_t service_id, const struct pace *pace);
/** Adds what waits for them, anywhere in the fleet: while much does, engines
    that stand free are about to be taken. */
void admit_wait (struct admit_room *room, uint64_t wanted_tokens);
/** 0: engines are free; 1: half of their room is taken, or there are none. */
double admit_crowding (const struct admit_room *room);

/** What decides of one request at one engine. */
struct admit_request
{
  uint64_t had_tokens; /**< its customer, of late over the fleet */
  /** Those that wait, on the mean; UINT64_MAX when none does. */
  uint64_t others_had_tokens;
  double crowding;
  bool away; /**< the engine is not its home, and it is out of patience */
};

/** What a customer may have of what is to be had, 1 for one that has had as
    much as those that wait: less for one that has had more, more for less.
    @param most  that it is at most */
double admit_part (uint64_t had_tokens, uint64_t others_had_tokens,
                   double most);

/** Tokens that the engine may have ahead of it. */
uint64_t admit_room_tokens (const struct pace *pace,
                            const struct admit_request *request);

/** Tokens that all instances together may have an engine be ahead of, when
    they look at it once a turn: it reads meanwhile. */
uint64_t admit_turn_tokens (const struct pace *pace, uint32_t turn_ms);

/** @param waits     it is in the line
    @param waited_ns since it arrived
    @param total_ns  that it has */
uint32_t admit_patience_permille (bool waits, uint64_t waited_ns,
                                  uint64_t total_ns, double crowding);

#endif
