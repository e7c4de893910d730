/// \file
/// Delivery logic: the attempt table with fencing at the owner, at-most-once
/// submissions at the executor, and the state machine of one request at its
/// entry host. The classes do no I/O and read no clock: they take messages and
/// the current time and return commands.
///
/// Depends on: bw_core.
#ifndef BW_DELIVERY_BW_DELIVERY_H
#define BW_DELIVERY_BW_DELIVERY_H

#include "bw_delivery/attempts/attempt_messages.h"
#include "bw_delivery/attempts/attempt_table.h"
#include "bw_delivery/attempts/delay_estimate.h"
#include "bw_delivery/outcomes/request_outcome.h"
#include "bw_delivery/requests/delivery_messages.h"
#include "bw_delivery/requests/request_delivery.h"
#include "bw_delivery/submissions/submission_messages.h"
#include "bw_delivery/submissions/submission_table.h"

#endif
