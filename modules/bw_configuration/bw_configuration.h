/// \file
/// Configuration decisions: distribution of versions, which never decrease on a
/// host; submission of an operator's change despite conflicts and lost answers;
/// and readiness of a starting host.
///
/// Depends on: bw_core.
#ifndef BW_CONFIGURATION_BW_CONFIGURATION_H
#define BW_CONFIGURATION_BW_CONFIGURATION_H

#include "bw_configuration/changes/change_messages.h"
#include "bw_configuration/changes/change_submission.h"
#include "bw_configuration/startup/startup_gate.h"
#include "bw_configuration/versions/version_messages.h"
#include "bw_configuration/versions/version_tracker.h"

#endif
