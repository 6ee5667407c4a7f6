#pragma once

#include <LibEvents/EventCount.h>
#include <LibEvents/EventField.h>

#include <initializer_list>
#include <string_view>
#include <vector>

/// \file The structured log: one JSON object per line on standard output.

namespace lycheeseam {

/// Opens the log of this process; each line has aInstance in its field
/// "instance".
void
OpenEventLog(std::string_view aInstance);

/// Writes a line with the event's name and its fields. Never blocks: a line is
/// dropped when it exceeds the rate limit or the size limit, or when standard
/// output isn't writable; the next line has the number of dropped lines. Safe
/// from any thread.
void
LogEvent(std::string_view aEvent, std::initializer_list<event_field> aFields);

/// Takes the number of occurrences of each event since the last call, whether
/// or not their lines were dropped; each dropped line also counts as a
/// "line_dropped" event. Safe from any thread.
std::vector<event_count>
TakeEventCounts();

}
