#include <LibAdmin/FormatOutcome.h>
#include <LibAdmin/RowCalls.h>
#include <LibCodec/JsonText.h>
#include <LibCodec/RowSerializers.h>
#include <LibCodec/TableSerializers.h>
#include <LibConfig/ConfigTable.h>
#include <LibCore/InvalidInput.h>

namespace lycheeseam {

namespace {

// Parses a row name from a path. The unused pointer selects the overload by the
// type of the table's row names.
digest
ParseRowName(std::string const& aText, digest const*)
{
  return digest::FromHex(aText);
}

template<typename Tag>
identifier<Tag>
ParseRowName(std::string const& aText, identifier<Tag> const*)
{
  return identifier<Tag>{ aText };
}

// Applies an action to the table that the call names.
template<typename Answer, typename Action>
Answer
WithTable(config_tables const& aTables,
          admin_call const& aCall,
          Action const& aAction)
{
  if (aCall.mResource == "routes")
    return aAction(aTables.mRoutes);
  if (aCall.mResource == "pools")
    return aAction(aTables.mPools);
  if (aCall.mResource == "keys")
    return aAction(aTables.mKeys);
  if (aCall.mResource == "workspaces")
    return aAction(aTables.mWorkspaces);
  throw invalid_input("unknown resource \"" + aCall.mResource +
                      "\"; expected routes, pools, keys, workspaces, apply, "
                      "status or metrics");
}

template<typename Name, typename Row>
admin_answer
ReadTable(std::map<Name, versioned<Row>> const& aRows, admin_call const& aCall)
{
  if (aCall.mName.empty())
    return admin_answer{ .mBody = ToJsonText(aRows) };
  Name const* const type = nullptr;
  auto const found = aRows.find(ParseRowName(aCall.mName, type));
  if (found == aRows.end())
    return ErrorAnswer(404, "no row has the name in the path");
  return admin_answer{ .mBody = ToJsonText(found->second) };
}

template<typename Name, typename Row>
any_row_change
DecodeRowChange(std::map<Name, versioned<Row>> const& aRows,
                admin_call const& aCall)
{
  Name const* const type = nullptr;
  Name const name = ParseRowName(aCall.mName, type);
  auto const found = aRows.find(name);
  row_version const current =
    found == aRows.end() ? row_version{} : found->second.mVersion;
  row_change<Name, Row> change{ .mName = name,
                                .mBase = aCall.mBase.value_or(current) };
  if (aCall.mVerb == admin_verb::Delete)
    return change;
  change.mRow = FromJsonText<Row>(aCall.mBody);
  if (config_table<Row>::NameOf(*change.mRow) != name)
    throw invalid_input("the row's name differs from the name in the path");
  return change;
}

}

admin_answer
ReadRows(config_tables const& aTables, admin_call const& aCall)
{
  return WithTable<admin_answer>(aTables, aCall, [&aCall](auto const& aRows) {
    return ReadTable(aRows, aCall);
  });
}

any_row_change
MakeRowChange(config_tables const& aTables, admin_call const& aCall)
{
  if (aCall.mName.empty())
    throw invalid_input("the path has no row name");
  return WithTable<any_row_change>(aTables, aCall, [&aCall](auto const& aRows) {
    return DecodeRowChange(aRows, aCall);
  });
}

}
