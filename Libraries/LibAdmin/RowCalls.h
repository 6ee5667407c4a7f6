#pragma once

#include <LibAdmin/AdminAnswer.h>
#include <LibAdmin/AdminCall.h>
#include <LibConfig/ConfigTables.h>
#include <LibRecords/RowChange.h>

namespace lycheeseam {

/// The rows of the call's table, or the one that it names; 404 when there is
/// none. Throws invalid_input for an unknown table.
admin_answer
ReadRows(config_tables const& aTables, admin_call const& aCall);

/// The change of one row that the call asks for. Throws invalid_input when
/// the row can't be read or has another name than the path.
any_row_change
MakeRowChange(config_tables const& aTables, admin_call const& aCall);

}
