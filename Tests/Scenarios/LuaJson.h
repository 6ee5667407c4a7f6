#pragma once

#include <nlohmann/json.hpp>

struct lua_State;

namespace lycheeseam {

/// Reads the Lua value at an index. A table with a first element, or one that
/// was marked by array(), becomes an array; any other table an object.
nlohmann::json
LuaToJson(lua_State* aLua, int aIndex);

/// Pushes a value; null becomes nil.
void
PushJson(lua_State* aLua, nlohmann::json const& aValue);

}
