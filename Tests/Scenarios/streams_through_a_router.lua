-- Many concurrent streams through one router. Each must be complete, in order
-- and answered to its own caller, while other callers disconnect during their
-- streams and further calls open new connections.
local platform = start_platform()
local engines = {
  start_engine("engine-1", { tokens_per_second = 300 }),
  start_engine("engine-2", { tokens_per_second = 300 }),
}
local service = start_service("service-1")
put_default_rows(platform, engines, { service })
local router = start_router("router-1", platform)
wait_until_serves(router, "/stock", "key-1")

local kept, dropped = {}, {}
for index = 1, 60 do
  kept[index] = begin(router_chat(router, "kept-" .. index, "key-1", { max_tokens = 40 }))
  if index % 2 == 0 then
    dropped[#dropped + 1] =
      begin(router_chat(router, "dropped-" .. index, "key-1", { max_tokens = 3000 }))
  end
end
for _, call in ipairs(dropped) do
  wait_for_tokens(call, 2)
  drop(call)
  finish(call)
end
local again = {}
for index = 1, 30 do
  again[index] = begin(router_chat(router, "again-" .. index, "key-1", { max_tokens = 40 }))
end
for index, call in ipairs(kept) do
  expect_complete_stream(finish(call), "kept-" .. index, 40)
end
for index, call in ipairs(again) do
  expect_complete_stream(finish(call), "again-" .. index, 40)
end
wait_until("the engines have cancelled the dropped calls", function()
  return counts(engines[1]).cancelled + counts(engines[2]).cancelled == #dropped
end)
for _, engine in ipairs(engines) do
  expect_equal(counts(engine).authorization_headers, 0, "keys seen by " .. engine.name)
end
expect_equal(counts(service).authorization_headers, 0, "keys seen by the service")
