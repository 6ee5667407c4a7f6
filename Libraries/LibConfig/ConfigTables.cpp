#include <LibConfig/ConfigTables.h>

namespace lycheeseam {

namespace {

template<typename Name, typename Row>
Row const*
FindRow(std::map<Name, versioned<Row>> const& aRows, Name const& aName)
{
  auto const found = aRows.find(aName);
  if (found == aRows.end())
    return nullptr;
  return &found->second.mRow;
}

// A prefix matches complete path segments only, so that "/stock" doesn't match
// "/stockade".
bool
HasPrefix(std::string_view aPath, std::string_view aPrefix)
{
  if (!aPath.starts_with(aPrefix))
    return false;
  if (aPath.size() == aPrefix.size() || aPrefix.ends_with('/'))
    return true;
  return aPath[aPrefix.size()] == '/';
}

}

route_row const*
config_tables::FindRoute(std::string_view aPath, model_name const& aModel) const
{
  route_row const* best = nullptr;
  for (auto const& [name, entry] : mRoutes) {
    route_row const& row = entry.mRow;
    if (!HasPrefix(aPath, row.mPathPrefix))
      continue;
    if (!row.mModel.IsEmpty() && row.mModel != aModel)
      continue;
    if (!best || row.mPathPrefix.size() > best->mPathPrefix.size())
      best = &row;
  }
  return best;
}

pool_row const*
config_tables::FindPool(pool_name const& aName) const
{
  return FindRow(mPools, aName);
}

key_row const*
config_tables::FindKey(digest const& aDigest) const
{
  return FindRow(mKeys, aDigest);
}

workspace_row const*
config_tables::FindWorkspace(workspace_id const& aName) const
{
  return FindRow(mWorkspaces, aName);
}

}
