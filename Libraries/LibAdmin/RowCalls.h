#pragma once

#include <LibAdmin/AdminAnswer.h>
#include <LibAdmin/AdminCall.h>
#include <LibConfig/ConfigTables.h>
#include <LibRecords/RowChange.h>

namespace lycheeseam {

/// Answers with the rows of the call's table, or with the row that the call
/// names; 404 when there is no such row. Throws invalid_input for an unknown
/// table.
admin_answer
ReadRows(config_tables const& aTables, admin_call const& aCall);

/// Makes the change of one row that the call requests. Throws invalid_input
/// when the path has no row name or an unknown table, or when the row in the
/// body can't be decoded or has another name than the path.
any_row_change
MakeRowChange(config_tables const& aTables, admin_call const& aCall);

}
