-- One of two engines freezes. New chats must be served completely by the other.
local platform = start_platform()
local engines = { start_engine("engine-1", { tokens_per_second = 200 }), start_engine("engine-2", { tokens_per_second = 200 }) }
local service = start_service("service-1")
put_default_rows(platform, engines, { service }, { first_byte_timeout_ms = 500 })
local router = start_router("router-1", platform)
wait_until_serves(router, "/stock", "key-1")
freeze("engine-1")
for wave = 1, 5 do
  local requests = {}
  for index = 1, 6 do
    requests[index] = router_chat(router, "call-" .. wave .. "-" .. index, "key-1")
  end
  for index, answer in ipairs(send_all(requests)) do
    expect_complete_stream(answer, "call-" .. wave .. "-" .. index, 8)
  end
end
thaw("engine-1")
