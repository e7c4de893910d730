/// \file
/// What operators see afterwards: metrics as Prometheus text, the story of one
/// request from the logs of many hosts, and the burn of service-level
/// objectives.
///
/// Depends on: bw_core.
#ifndef BW_REPORTS_BW_REPORTS_H
#define BW_REPORTS_BW_REPORTS_H

#include "bw_reports/burn/burn_page.h"
#include "bw_reports/burn/burn_report.h"
#include "bw_reports/burn/outcome_series.h"
#include "bw_reports/logs/log_record.h"
#include "bw_reports/logs/request_story.h"
#include "bw_reports/metrics/metric_registry.h"
#include "bw_reports/metrics/metrics_text.h"

#endif
