/**
 * @file sample_evaluate.c
 * Computes fairness gap, utilisation and starvation from the samples.
 */
#include "load.h"
#include "sample.h"
#include <math.h>
#include <string.h>

#define AFTER_FAULT_WINDOW_US 5000000 /**< of utilisation_after_fault */
#define STARVATION_TURNS                                                      \
  3 /**< fair turns; a longer wait of a customer is starvation */

static void update_worst_gap (const struct load *load, uint32_t a, uint32_t b,
                              struct sample_result *result);
static double settled_gap (const struct load *load, uint32_t a, uint32_t b);
static bool is_backlogged (const struct sample *sample, uint32_t customer);
static double normalised_service (const struct load *load,
                                  const struct sample *sample,
                                  uint32_t customer);
static void evaluate_utilisation (const struct load *load,
                                  struct sample_result *result);
static void evaluate_waits (const struct load *load,
                            struct sample_result *result);
static uint64_t longest_stall_us (const struct load *load, uint32_t customer);

void
sample_evaluate (struct load *load, struct sample_result *result)
{
  uint32_t a;
  uint32_t b;

  memset (result, 0, sizeof (*result));
  result->gap_customers[0] = "-";
  result->gap_customers[1] = "-";
  result->head_wait_customer = "-";
  for (a = 0; a < load->customer_count; a++)
    for (b = a + 1; b < load->customer_count; b++)
      if (load->customers[a].has_kind[FLOW_ENGINE]
          && load->customers[b].has_kind[FLOW_ENGINE])
        {
          update_worst_gap (load, a, b, result);
          result->gap_settled
              = fmax (result->gap_settled, settled_gap (load, a, b));
        }
  evaluate_utilisation (load, result);
  evaluate_waits (load, result);
}

/* In each maximal interval with both customers backlogged, the largest gap of
   any subinterval is the range (maximum less minimum) of the difference of
   their services. */
static void
update_worst_gap (const struct load *load, uint32_t a, uint32_t b,
                  struct sample_result *result)
{
  const struct sample_log *log = &load->samples;
  double difference;
  double low = 0;
  double high = 0;
  uint64_t low_us = 0;
  uint64_t high_us = 0;
  bool in_interval = false;
  size_t i;

  for (i = 0; i < log->count; i++)
    {
      const struct sample *sample = &log->samples[i];

      if (!is_backlogged (sample, a) || !is_backlogged (sample, b))
        {
          in_interval = false;
          continue;
        }
      difference = normalised_service (load, sample, a)
                   - normalised_service (load, sample, b);
      if (!in_interval || difference < low)
        {
          low = difference;
          low_us = sample->time_us;
        }
      if (!in_interval || difference > high)
        {
          high = difference;
          high_us = sample->time_us;
        }
      in_interval = true;
      if (high - low <= result->gap_worst)
        continue;
      result->gap_worst = high - low;
      result->gap_customers[0] = load->customers[a].name;
      result->gap_customers[1] = load->customers[b].name;
      result->gap_from_ms = (low_us < high_us ? low_us : high_us) / 1000;
      result->gap_to_ms = (low_us < high_us ? high_us : low_us) / 1000;
    }
}

/* Largest gap of two customers after the first fair turn.  Until then,
   requests run that were admitted while the fleet was idle. */
static double
settled_gap (const struct load *load, uint32_t a, uint32_t b)
{
  const struct sample_log *log = &load->samples;
  double low = 0;
  double high = 0;
  double worst = 0;
  bool in_interval = false;
  size_t i;

  for (i = 0; i < log->count; i++)
    {
      const struct sample *sample = &log->samples[i];
      double difference = normalised_service (load, sample, a)
                          - normalised_service (load, sample, b);

      if (sample->time_us < report_fair_turn_ms (load) * 1000
          || !is_backlogged (sample, a) || !is_backlogged (sample, b))
        {
          in_interval = false;
          continue;
        }
      low = in_interval ? fmin (low, difference) : difference;
      high = in_interval ? fmax (high, difference) : difference;
      in_interval = true;
      worst = fmax (worst, high - low);
    }
  return worst;
}

static bool
is_backlogged (const struct sample *sample, uint32_t customer)
{
  const struct sample_customer *entry = &sample->customers[customer];

  return entry->outstanding > entry->running;
}

static double
normalised_service (const struct load *load, const struct sample *sample,
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
  double after_fault_busy_us = 0;
  double after_fault_us = 0;
  size_t i;

  for (i = 1; i < log->count; i++)
    {
      const struct sample *from = &log->samples[i - 1];
      const struct sample *to = &log->samples[i];

      if (!from->contended || !to->contended)
        continue;
      busy_us += (double)(to->busy_us - from->busy_us);
      contended_us += (double)(to->time_us - from->time_us);
      if (from->time_us < fault_us
          || to->time_us > fault_us + AFTER_FAULT_WINDOW_US)
        continue;
      after_fault_busy_us += (double)(to->busy_us - from->busy_us);
      after_fault_us += (double)(to->time_us - from->time_us);
    }
  result->contended_s = contended_us / 1e6;
  result->utilisation
      = contended_us > 0 ? busy_us / contended_us / load->options.slots : 0;
  result->utilisation_after_fault
      = fault_us > 0 && after_fault_us > 0
            ? after_fault_busy_us / after_fault_us / load->options.slots
            : -1;
}

static void
evaluate_waits (const struct load *load, struct sample_result *result)
{
  const struct sample_log *log = &load->samples;
  double total_weight = 0;
  bool was_backlogged[LOAD_CUSTOMERS_MAX] = { false };
  uint32_t i;
  size_t s;

  for (i = 0; i < load->customer_count; i++)
    {
      for (s = 0; s < log->count && !was_backlogged[i]; s++)
        was_backlogged[i] = is_backlogged (&log->samples[s], i);
      if (!was_backlogged[i])
        continue;
      result->backlogged_customers++;
      total_weight += load->customers[i].weight;
    }
  for (i = 0; i < load->customer_count; i++)
    {
      uint64_t wait_us = load->longest_head_wait_us[i];
      uint64_t stall_us = longest_stall_us (load, i);
      /* A customer whose fair share is less than one slot gets a slot only
         every 1 / fair_slots turns. */
      double fair_slots
          = load->options.slots * load->customers[i].weight / total_weight;
      double fair_turn_us = (double)report_fair_turn_ms (load) * 1000
                            * fmax (1, 1 / fair_slots);

      if (stall_us > wait_us)
        wait_us = stall_us;
      if (wait_us / 1000 > result->head_wait_ms)
        {
          result->head_wait_ms = wait_us / 1000;
          result->head_wait_customer = load->customers[i].name;
        }
      if (was_backlogged[i]
          && (double)wait_us > STARVATION_TURNS * fair_turn_us)
        result->starved_customers++;
    }
}

/* Longest time during which a customer was backlogged and none of its
   requests started. */
static uint64_t
longest_stall_us (const struct load *load, uint32_t customer)
{
  const struct sample_log *log = &load->samples;
  uint64_t longest_us = 0;
  size_t stall_start = 0;
  size_t i;

  for (i = 0; i < log->count; i++)
    {
      const struct sample *sample = &log->samples[i];

      if (!is_backlogged (sample, customer)
          || sample->customers[customer].started
                 != log->samples[stall_start].customers[customer].started)
        stall_start = i;
      if (sample->time_us - log->samples[stall_start].time_us > longest_us)
        longest_us = sample->time_us - log->samples[stall_start].time_us;
    }
  return longest_us;
}
