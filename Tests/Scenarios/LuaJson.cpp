#include "LuaJson.h"

#include "ScenarioFailure.h"

#include <lua.hpp>
#include <string>

namespace lycheeseam {

namespace {

using nlohmann::json;

std::string
TextAt(lua_State* aLua, int aIndex)
{
  std::size_t size = 0;
  char const* const text = lua_tolstring(aLua, aIndex, &size);
  return { text, size };
}

bool
IsArray(lua_State* aLua, int aIndex)
{
  if (lua_rawlen(aLua, aIndex) > 0)
    return true;
  if (luaL_getmetafield(aLua, aIndex, "is_array") == LUA_TNIL)
    return false;
  lua_pop(aLua, 1);
  return true;
}

json
ArrayAt(lua_State* aLua, int aIndex)
{
  json array = json::array();
  lua_Integer const size = static_cast<lua_Integer>(lua_rawlen(aLua, aIndex));
  for (lua_Integer item = 1; item <= size; ++item) {
    lua_rawgeti(aLua, aIndex, item);
    array.push_back(LuaToJson(aLua, -1));
    lua_pop(aLua, 1);
  }
  return array;
}

json
ObjectAt(lua_State* aLua, int aIndex)
{
  json object = json::object();
  lua_pushnil(aLua);
  while (lua_next(aLua, aIndex) != 0) {
    // lua_tolstring on a number key would convert it in place, and lua_next
    // would no longer find the key.
    if (lua_type(aLua, -2) != LUA_TSTRING)
      throw scenario_failure(
        "a table has a key that is neither a string nor part of a list 1 to n");
    object[TextAt(aLua, -2)] = LuaToJson(aLua, -1);
    lua_pop(aLua, 1);
  }
  return object;
}

void
PushObject(lua_State* aLua, json const& aValue)
{
  lua_newtable(aLua);
  for (auto const& item : aValue.items()) {
    lua_pushlstring(aLua, item.key().data(), item.key().size());
    PushJson(aLua, item.value());
    lua_rawset(aLua, -3);
  }
}

void
PushArray(lua_State* aLua, json const& aValue)
{
  lua_newtable(aLua);
  lua_Integer place = 0;
  for (json const& item : aValue) {
    PushJson(aLua, item);
    lua_rawseti(aLua, -2, ++place);
  }
}

}

json
LuaToJson(lua_State* aLua, int aIndex)
{
  int const index = lua_absindex(aLua, aIndex);
  switch (lua_type(aLua, index)) {
    case LUA_TNIL:
      return nullptr;
    case LUA_TBOOLEAN:
      return lua_toboolean(aLua, index) != 0;
    case LUA_TNUMBER:
      if (lua_isinteger(aLua, index) != 0)
        return lua_tointeger(aLua, index);
      return lua_tonumber(aLua, index);
    case LUA_TSTRING:
      return TextAt(aLua, index);
    case LUA_TTABLE:
      return IsArray(aLua, index) ? ArrayAt(aLua, index)
                                  : ObjectAt(aLua, index);
    default:
      throw scenario_failure(
        "a value is not a string, number, boolean, nil or table");
  }
}

void
PushJson(lua_State* aLua, json const& aValue)
{
  luaL_checkstack(aLua, 4, "a value is nested too deeply");
  if (aValue.is_object())
    PushObject(aLua, aValue);
  else if (aValue.is_array())
    PushArray(aLua, aValue);
  else if (aValue.is_boolean())
    lua_pushboolean(aLua, aValue.get<bool>() ? 1 : 0);
  else if (aValue.is_number_integer())
    lua_pushinteger(aLua, aValue.get<lua_Integer>());
  else if (aValue.is_number())
    lua_pushnumber(aLua, aValue.get<lua_Number>());
  else if (aValue.is_string())
    lua_pushlstring(aLua,
                    aValue.get_ref<std::string const&>().data(),
                    aValue.get_ref<std::string const&>().size());
  else
    lua_pushnil(aLua);
}

}
