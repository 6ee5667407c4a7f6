#pragma once

#include <LibFleet/ReportUpdate.h>
#include <LibGateway/TrafficReport.h>

#include <vector>

namespace lycheeseam {

/// What peers are told of a report of this instance's traffic thread. aLoads
/// are the reported loads that are new.
report_update
MakeOwnUpdate(traffic_report aReport, std::vector<observed_load> aLoads);

}
