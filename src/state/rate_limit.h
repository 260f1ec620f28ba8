/**
 * @file rate_limit.h
 * Limit that an upstream in need names in its responses: the requests a second
 * that it takes from all instances together, for as long as it says so.
 *
 * A share of the limit for each instance does not work in a large fleet: the
 * limit may be below one request a second, and demand is at few instances at a
 * time.  So one instance keeps the account of an upstream's limit (see
 * turns.h), and the others ask it for turns: each turn is one request that may
 * be sent within a short time.  An upstream without a turn is passed over like
 * one that is full.
 *
 * What is known of the limit comes from own responses, and from other
 * instances.  A response counts for the time of its own request, since it may
 * have waited for long.
 */
#ifndef STATE_RATE_LIMIT_H
#define STATE_RATE_LIMIT_H

#include <stdbool.h>
#include <stdint.h>

/** Lowest rate, in thousandths of a request a second: an upstream that names
    less is sent a request now and then all the same, as only a response can
    say that the limit has ended. */
#define RATE_LIMIT_MIN_PERMILLE 250
/** Longest time from when a turn may be used until it lapses. */
#define RATE_LIMIT_TURN_VALID_MS 500
/** Time after which a turn is given back unused: another instance may have use
    for it before it lapses. */
#define RATE_LIMIT_TURN_KEPT_MS 150

/** Limit of one upstream; zero-initialise. */
struct rate_limit
{
  uint32_t permille;    /**< thousandths of a request a second, if `limited` */
  bool limited;         /**< a limit is in force */
  uint64_t named_ns;    /**< when a response last named it; 0: never */
  uint64_t ended_ns;    /**< when the request was sent whose response showed
                             that it had ended; 0: never */
  uint64_t turn_ns;     /**< when the next turn may be used; 0: none */
  uint64_t asked_ns;    /**< when a turn was asked for; 0: no answer is due */
  uint64_t expected_ns; /**< earliest time of a turn, by the last answer */
};

/** A response named a limit.
    @param sent_ns  when its request was sent.
    @return whether that changes the limit. */
bool rate_limit_named (struct rate_limit *limit, uint32_t permille,
                       uint64_t sent_ns, uint64_t now_ns);
/** A response named none.
    @return whether that ends the limit. */
bool rate_limit_absent (struct rate_limit *limit, uint64_t sent_ns);
/** Another instance knows a limit, or its end (`limited` is false).
    @param known_ns  when it was named, or when the request was sent whose
                     response showed its end.
    @return whether that changes the limit. */
bool rate_limit_merge (struct rate_limit *limit, bool limited,
                       uint32_t permille, uint64_t known_ns);

/** Whether a request may be sent now, as far as the limit is concerned. */
bool rate_limit_allows (const struct rate_limit *limit, uint64_t now_ns);
/** A request is sent: its turn is used.
    @return whether there was one. */
bool rate_limit_use (struct rate_limit *limit);

/** Whether to give a turn back that was not used in time; it is gone then. */
bool rate_limit_give_back (struct rate_limit *limit, uint64_t now_ns);

/** Whether to ask for a turn for a request that would be sent. */
bool rate_limit_may_ask (const struct rate_limit *limit, uint64_t now_ns);
/** Whether a turn, or the answer to a question, is due. */
bool rate_limit_answer_due (const struct rate_limit *limit, uint64_t now_ns);
void rate_limit_asked (struct rate_limit *limit, uint64_t now_ns);
/** The answer: a turn after `delay_ns`, or none to be had before that. */
void rate_limit_answered (struct rate_limit *limit, bool granted,
                          uint64_t delay_ns, uint64_t now_ns);
/** Time until a turn may be expected; 0 if there is one, or without limit. */
uint64_t rate_limit_wait_ns (const struct rate_limit *limit, uint64_t now_ns);

#endif
