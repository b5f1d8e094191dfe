#pragma once

#include <stdbool.h>
#include <stdint.h>

/*
 * Rate limit for new flows at one upstream while it is warming. Two conditions hold for a flow that is let
 * in:
 *
 * - In every span of one second that ends now, at most rate x overshoot + slack flows were delivered, this
 * one included (hard limit).
 * - A token bucket that is filled at the rate has a token (target). It holds at most half of what the hard
 * limit allows above the rate. The rest is a margin for SYNs that reach the upstream closer together than the
 * agent sent them.
 *
 * Every delivered SYN is counted, also while nothing is limited: the upstream may have been replaced a moment
 * before its first announcement, and a limit may come with the next view. The memory does not depend on the
 * number of flows. No I/O; the caller passes the time.
 */

enum
{
  OH_WARMUP_SPAN_US = 1000000, /* length of the span of the hard limit */
  OH_WARMUP_SLICE_US = 10000,  /* resolution: a delivery counts for up to a slice longer than the span */
  OH_WARMUP_SLICES = OH_WARMUP_SPAN_US / OH_WARMUP_SLICE_US + 1,
};

/* Margin of the hard limit above the rate, in thousandths. */
typedef struct
{
  int64_t overshoot_milli; /* factor */
  int64_t slack_milli;     /* flows */
} oh_warmup_margin_t;

/* The rate in effect. */
typedef struct
{
  bool limited;
  uint32_t milli_per_s; /* flows per 1,000 s; 0 while limited: not known, the hard limit is the slack */
} oh_warmup_rate_t;

typedef struct
{
  oh_warmup_margin_t margin;
  uint32_t delivered[OH_WARMUP_SLICES]; /* SYNs in each of the last slices of time, as a ring */
  int64_t last_slice;                   /* number of the last slice with an entry */
  int64_t full_until_us; /* no flow is let in before, as the deliveries of a predecessor are not known */
  int64_t tokens;        /* in the bucket at tokens_us, in units of 1e-9 flows */
  int64_t tokens_us;
} oh_warmup_limit_t;

/* full_until_us: end of the time for which no flow is let in while limited, as another process may have
 * delivered flows to the upstream before; 0: there was none. */
void oh_warmup_limit_init (oh_warmup_limit_t *limit, const oh_warmup_margin_t *margin, int64_t full_until_us);

/* To be called once it is known that no other process has delivered flows to the upstream. */
void oh_warmup_limit_clear_full (oh_warmup_limit_t *limit);

/* The most flows that may be delivered in a span. */
uint64_t oh_warmup_limit_flows (const oh_warmup_limit_t *limit, oh_warmup_rate_t rate);

/* True if a new flow may be delivered now. */
bool oh_warmup_limit_admits (const oh_warmup_limit_t *limit, oh_warmup_rate_t rate, int64_t now_us);

/* True if the SYN of a flow that was let in may be delivered again now: the hard limit applies alone. */
bool oh_warmup_limit_admits_again (const oh_warmup_limit_t *limit, oh_warmup_rate_t rate, int64_t now_us);

/* Counts a SYN that was delivered, whether or not it was limited. */
void oh_warmup_limit_count (oh_warmup_limit_t *limit, oh_warmup_rate_t rate, int64_t now_us);
