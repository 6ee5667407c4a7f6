#pragma once

#include <LibEvents/EventCount.h>
#include <LibEvents/EventField.h>

#include <initializer_list>
#include <string_view>
#include <vector>

/// \file The structured log: one JSON object a line on standard output.

namespace lycheeseam {

/// Opens the log of this process; aInstance stands on each line.
void
OpenEventLog(std::string_view aInstance);

/// Writes a line with the event's name and its fields. Never blocks: lines
/// beyond the bound, or that the reader of standard output doesn't take, are
/// left out, and the next line tells how many. Safe from any thread.
void
LogEvent(std::string_view aEvent, std::initializer_list<event_field> aFields);

/// How often each event came since the last call, its lines left out or not;
/// lines left out count as "line_dropped" besides. Safe from any thread.
std::vector<event_count>
TakeEventCounts();

}
