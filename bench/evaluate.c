/**
 * @file evaluate.c
 * Fairness gap, utilisation and starvation, worked out from samples.
 */
#include "load.h"
#include "sample.h"
#include <math.h>
#include <string.h>

#define AFTER_FAULT_US   5000000
#define STARVATION_TURNS 3 /**< fair turns that a head may wait */

static void pair_gap (const struct load *load, uint32_t a, uint32_t b,
                      struct sample_result *result);
static double pair_gap_settled (const struct load *load, uint32_t a,
                                uint32_t b);
static bool backlogged (const struct sample *sample, uint32_t customer);
static double service (const struct load *load, const struct sample *sample,
                       uint32_t customer);
static void evaluate_utilisation (const struct load *load,
                                  struct sample_result *result);
static void evaluate_waits (const struct load *load,
                            struct sample_result *result);
static uint64_t longest_standstill_us (const struct load *load,
                                       uint32_t customer);

void
sample_evaluate (struct load *load, struct sample_result *result)
{
  uint32_t a;
  uint32_t b;

  memset (result, 0, sizeof (*result));
  result->gap_pair[0] = "-";
  result->gap_pair[1] = "-";
  result->head_customer = "-";
  for (a = 0; a < load->customer_count; a++)
    for (b = a + 1; b < load->customer_count; b++)
      if (load->customers[a].has_kind[FLOW_ENGINE]
          && load->customers[b].has_kind[FLOW_ENGINE])
        {
          pair_gap (load, a, b, result);
          result->gap_settled
              = fmax (result->gap_settled, pair_gap_settled (load, a, b));
        }
  evaluate_utilisation (load, result);
  evaluate_waits (load, result);
}

/* Over each longest interval with both backlogged, the worst difference over
   its subintervals is the range of the difference of services. */
static void
pair_gap (const struct load *load, uint32_t a, uint32_t b,
          struct sample_result *result)
{
  const struct sample_log *log = &load->samples;
  double difference;
  double low = 0;
  double high = 0;
  uint64_t low_us = 0;
  uint64_t high_us = 0;
  bool inside = false;
  size_t i;

  for (i = 0; i < log->count; i++)
    {
      const struct sample *sample = &log->samples[i];

      if (!backlogged (sample, a) || !backlogged (sample, b))
        {
          inside = false;
          continue;
        }
      difference = service (load, sample, a) - service (load, sample, b);
      if (!inside || difference < low)
        {
          low = difference;
          low_us = sample->time_us;
        }
      if (!inside || difference > high)
        {
          high = difference;
          high_us = sample->time_us;
        }
      inside = true;
      if (high - low <= result->gap_worst)
        continue;
      result->gap_worst = high - low;
      result->gap_pair[0] = load->customers[a].name;
      result->gap_pair[1] = load->customers[b].name;
      result->gap_from_ms = (low_us < high_us ? low_us : high_us) / 1000;
      result->gap_to_ms = (low_us < high_us ? high_us : low_us) / 1000;
    }
}

/* Before the first fair turn is over, requests run that were admitted while
   the fleet was idle. */
static double
pair_gap_settled (const struct load *load, uint32_t a, uint32_t b)
{
  const struct sample_log *log = &load->samples;
  double low = 0;
  double high = 0;
  double worst = 0;
  bool inside = false;
  size_t i;

  for (i = 0; i < log->count; i++)
    {
      const struct sample *sample = &log->samples[i];
      double difference
          = service (load, sample, a) - service (load, sample, b);

      if (sample->time_us < report_fair_turn_ms (load) * 1000
          || !backlogged (sample, a) || !backlogged (sample, b))
        {
          inside = false;
          continue;
        }
      low = inside ? fmin (low, difference) : difference;
      high = inside ? fmax (high, difference) : difference;
      inside = true;
      worst = fmax (worst, high - low);
    }
  return worst;
}

static bool
backlogged (const struct sample *sample, uint32_t customer)
{
  const struct sample_customer *entry = &sample->customers[customer];

  return entry->outstanding > entry->running;
}

static double
service (const struct load *load, const struct sample *sample,
         uint32_t customer)
{
  return (double)sample->customers[customer].cost
         / load->customers[customer].weight;
}

static void
evaluate_utilisation (const struct load *load, struct sample_result *result)
{
  const struct sample_log *log = &load->samples;
  uint64_t fault_us = (uint64_t)load->options.fault_ms * 1000;
  double busy_us = 0;
  double contended_us = 0;
  double after_busy_us = 0;
  double after_us = 0;
  size_t i;

  for (i = 1; i < log->count; i++)
    {
      const struct sample *from = &log->samples[i - 1];
      const struct sample *to = &log->samples[i];

      if (!from->waiting || !to->waiting)
        continue;
      busy_us += (double)(to->busy_us - from->busy_us);
      contended_us += (double)(to->time_us - from->time_us);
      if (from->time_us < fault_us || to->time_us > fault_us + AFTER_FAULT_US)
        continue;
      after_busy_us += (double)(to->busy_us - from->busy_us);
      after_us += (double)(to->time_us - from->time_us);
    }
  result->contended_s = contended_us / 1e6;
  result->utilisation
      = contended_us > 0 ? busy_us / contended_us / load->options.slots : 0;
  result->utilisation_after_fault
      = fault_us > 0 && after_us > 0
            ? after_busy_us / after_us / load->options.slots
            : -1;
}

static void
evaluate_waits (const struct load *load, struct sample_result *result)
{
  const struct sample_log *log = &load->samples;
  double weights = 0;
  bool ever[LOAD_CUSTOMERS_MAX] = { false };
  uint32_t i;
  size_t s;

  for (i = 0; i < load->customer_count; i++)
    {
      for (s = 0; s < log->count && !ever[i]; s++)
        ever[i] = backlogged (&log->samples[s], i);
      if (!ever[i])
        continue;
      result->backlogged++;
      weights += load->customers[i].weight;
    }
  for (i = 0; i < load->customer_count; i++)
    {
      uint64_t wait_us = load->head_wait_us[i];
      uint64_t standstill_us = longest_standstill_us (load, i);
      double fair_slots
          = load->options.slots * load->customers[i].weight / weights;
      double turn_us = (double)report_fair_turn_ms (load) * 1000
                       * fmax (1, 1 / fair_slots);

      if (standstill_us > wait_us)
        wait_us = standstill_us;
      if (wait_us / 1000 > result->head_wait_ms)
        {
          result->head_wait_ms = wait_us / 1000;
          result->head_customer = load->customers[i].name;
        }
      if (ever[i] && (double)wait_us > STARVATION_TURNS * turn_us)
        result->starved++;
    }
}

/* Longest time for which a customer waited and none of its requests
   started. */
static uint64_t
longest_standstill_us (const struct load *load, uint32_t customer)
{
  const struct sample_log *log = &load->samples;
  uint64_t longest_us = 0;
  size_t first = 0;
  size_t i;

  for (i = 0; i < log->count; i++)
    {
      const struct sample *sample = &log->samples[i];

      if (!backlogged (sample, customer)
          || sample->customers[customer].started
                 != log->samples[first].customers[customer].started)
        first = i;
      if (sample->time_us - log->samples[first].time_us > longest_us)
        longest_us = sample->time_us - log->samples[first].time_us;
    }
  return longest_us;
}
