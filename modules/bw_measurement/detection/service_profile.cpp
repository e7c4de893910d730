#include "bw_measurement/detection/service_profile.h"

using namespace bw;
using namespace std::chrono_literals;

detection_options bw::chaoprayaDetection() {
  return {.FalseEjectionRate = 0.1,
          .MissedDetectionRate = 0.2,
          .RequestsPerSecond = 10,
          .PauseFactor = 10};
}

detection_options bw::sagarmathaDetection() {
  return {.FalseEjectionRate = 0.01,
          .MissedDetectionRate = 0.3,
          .RequestsPerSecond = 10,
          .PauseFactor = 1};
}

std::vector<service_profile> bw::deployedServices() {
  const service_profile Chaopraya = {.Deadline = 5s,
                                     .OneWay = 4ms,
                                     .TickPeriod = 25ms,
                                     .Floor = ratio(0.8),
                                     .Detection = chaoprayaDetection()};
  const service_profile Sagarmatha = {.Deadline = 10s,
                                      .OneWay = 5ms,
                                      .TickPeriod = 50ms,
                                      .Floor = ratio(0.75),
                                      .Detection = sagarmathaDetection()};
  service_profile Diary = Chaopraya;
  Diary.Name = "diary-svc";
  Diary.Instances = 20;
  Diary.Slots = 6;
  Diary.Kinds = {
      {.Name = "submit", .Share = 0.6, .Median = 40ms, .Repeatable = false},
      {.Name = "lookup", .Share = 0.4, .Median = 25ms}};
  service_profile Insight = Chaopraya;
  Insight.Name = "insight-svc";
  Insight.Instances = 6;
  Insight.Slots = 6;
  Insight.Kinds = {{.Name = "dashboard", .Share = 0.7, .Median = 40ms},
                   {.Name = "export-page", .Share = 0.3, .Median = 60ms}};
  service_profile Filing = Sagarmatha;
  Filing.Name = "filing-desk";
  Filing.Instances = 20;
  Filing.Slots = 2;
  Filing.Kinds = {{.Name = "lookup", .Share = 0.7, .Median = 60ms},
                  {.Name = "declaration",
                   .Share = 0.3,
                   .Median = 120ms,
                   .Repeatable = false}};
  service_profile Archive = Sagarmatha;
  Archive.Name = "pricing-archive";
  Archive.Instances = 8;
  Archive.Slots = 2;
  Archive.Kinds = {{.Name = "study", .Share = 0.7, .Median = 100ms},
                   {.Name = "download-page", .Share = 0.3, .Median = 150ms}};
  return {Diary, Insight, Filing, Archive};
}
