-- A router is stopped by SIGTERM. Open streams and running bookings must finish
-- normally before it exits.
local platform = start_platform()
local engine = start_engine("engine-1", { tokens_per_second = 50 })
local service = start_service("service-1")
put_default_rows(platform, { engine }, { service })
local router = start_router("router-1", platform, {
  settings = { timeouts = { address_ttl_ms = 1000 } },
})
wait_until_serves(router, "/stock", "key-1")

control(service, { delay_ms = 1500 })
local stream = begin(router_chat(router, "stream", "key-1", { max_tokens = 100 }))
local booked = begin(booking(router, "booked", "key-1"))
wait_for_tokens(stream, 5)
wait_until("the booking runs", function() return runs(service, "booked") == 1 end)
ask_to_stop("router-1")
expect_complete_stream(finish(stream), "stream", 100)
expect_equal(finish(booked).status, 200, "status of the booking")
expect_equal(wait_for_end("router-1", BOUND_MS).code, 0, "exit code")
