#pragma once

#include <LibFleet/PeerRegistry.h>
#include <LibFleet/ReportUpdate.h>
#include <LibPeer/FleetReport.h>
#include <LibPeer/FleetRoster.h>

#include <span>

/// \file The report and the roster that an instance sends to a peer: its own
/// state together with that of the instances on whose behalf it reports.

namespace lycheeseam {

/// Composes the report of a scope for the peer aTo, which matters for scope
/// Rest only: all roots get the same report. aOwn holds the state of this
/// instance alone, aUpdates what was observed or received since the last
/// report. Its loads are meant for the instances of the sender's failure domain
/// only.
fleet_report
ComposeReport(instant aNow,
              peer_registry const& aRegistry,
              fleet_report const& aOwn,
              std::span<report_update const> aUpdates,
              report_scope aScope,
              instance_id const& aTo);

/// Adds what an instance that starts, or was unreachable, has missed.
void
AddEarlierState(fleet_report& aReport, fleet_report const& aOwn);

/// Adds all known origins of streams.
void
AddOrigins(fleet_report& aReport, fleet_report const& aOwn);

/// Composes the roster of the instances that such a report covers, without aTo.
fleet_roster
ComposeRoster(instant aNow,
              peer_registry const& aRegistry,
              roster_entry const& aOwn,
              report_scope aScope,
              instance_id const& aTo);

}
