-- Chao Phraya at its size: everyone is served through each of 8 routers, and
-- through those that are left after one of each kind has been killed.
local running = start_deployment(CHAO_PHRAYA)
expect_all_served(CHAO_PHRAYA, running, "first")
lose_one_of_each(CHAO_PHRAYA, running)
expect_all_served(CHAO_PHRAYA, running, "second")
