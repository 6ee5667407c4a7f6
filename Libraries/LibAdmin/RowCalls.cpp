#include <LibAdmin/FormatOutcome.h>
#include <LibAdmin/RowCalls.h>
#include <LibCodec/JsonText.h>
#include <LibCodec/RowSerializers.h>
#include <LibCodec/TableSerializers.h>
#include <LibConfig/ConfigTable.h>
#include <LibCore/InvalidInput.h>

namespace lycheeseam {

namespace {

digest
NameFrom(std::string const& aText, digest const*)
{
  return digest::FromHex(aText);
}

template<typename Tag>
identifier<Tag>
NameFrom(std::string const& aText, identifier<Tag> const*)
{
  return identifier<Tag>{ aText };
}

// Runs an action on the table that the call is about.
template<typename Answer, typename Action>
Answer
WithTable(config_tables const& aTables,
          admin_call const& aCall,
          Action const& aAction)
{
  if (aCall.mSubject == "routes")
    return aAction(aTables.mRoutes);
  if (aCall.mSubject == "pools")
    return aAction(aTables.mPools);
  if (aCall.mSubject == "keys")
    return aAction(aTables.mKeys);
  if (aCall.mSubject == "workspaces")
    return aAction(aTables.mWorkspaces);
  throw invalid_input("there is no \"" + aCall.mSubject +
                      "\"; there are routes, pools, keys, workspaces, apply, "
                      "status and metrics");
}

template<typename Name, typename Row>
admin_answer
ReadFrom(std::map<Name, versioned<Row>> const& aRows, admin_call const& aCall)
{
  if (aCall.mName.empty())
    return admin_answer{ .mBody = ToJsonText(aRows) };
  Name const* const kind = nullptr;
  auto const found = aRows.find(NameFrom(aCall.mName, kind));
  if (found == aRows.end())
    return ErrorAnswer(404, "there is no row of that name");
  return admin_answer{ .mBody = ToJsonText(found->second) };
}

template<typename Name, typename Row>
any_row_change
ChangeOf(std::map<Name, versioned<Row>> const& aRows, admin_call const& aCall)
{
  Name const* const kind = nullptr;
  Name const name = NameFrom(aCall.mName, kind);
  auto const found = aRows.find(name);
  row_version const current =
    found == aRows.end() ? row_version{} : found->second.mVersion;
  row_change<Name, Row> change{ .mName = name,
                                .mBase = aCall.mBase.value_or(current) };
  if (aCall.mVerb == admin_verb::Delete)
    return change;
  change.mRow = FromJsonText<Row>(aCall.mBody);
  if (config_table<Row>::NameOf(*change.mRow) != name)
    throw invalid_input("the row's name is not the one in the path");
  return change;
}

}

admin_answer
ReadRows(config_tables const& aTables, admin_call const& aCall)
{
  return WithTable<admin_answer>(aTables, aCall, [&aCall](auto const& aRows) {
    return ReadFrom(aRows, aCall);
  });
}

any_row_change
MakeRowChange(config_tables const& aTables, admin_call const& aCall)
{
  if (aCall.mName.empty())
    throw invalid_input("the path names no row");
  return WithTable<any_row_change>(aTables, aCall, [&aCall](auto const& aRows) {
    return ChangeOf(aRows, aCall);
  });
}

}
