# A package is a folder with a CMakeLists.txt that calls one of these functions.
# Sources are found by pattern, so adding a file changes no build script.

# Adds every package directly below a folder.
function(lycheeseam_add_packages folder)
  file(GLOB packages CONFIGURE_DEPENDS ${CMAKE_SOURCE_DIR}/${folder}/*/CMakeLists.txt)
  foreach(package ${packages})
    get_filename_component(directory ${package} DIRECTORY)
    add_subdirectory(${directory})
  endforeach()
endfunction()

# Defines a static library from all sources in the current folder, or an
# interface library if there are none. DEPENDS are linked publicly.
function(lycheeseam_library name)
  cmake_parse_arguments(PACKAGE "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  if(sources)
    add_library(${name} STATIC ${sources})
    target_include_directories(${name} PUBLIC ${CMAKE_SOURCE_DIR}/Libraries)
    target_link_libraries(${name} PUBLIC ${PACKAGE_DEPENDS})
  else()
    add_library(${name} INTERFACE)
    target_include_directories(${name} INTERFACE ${CMAKE_SOURCE_DIR}/Libraries)
    target_link_libraries(${name} INTERFACE ${PACKAGE_DEPENDS})
  endif()
endfunction()

# Defines a program from all sources in the current folder; INSTALL installs it.
function(lycheeseam_program name)
  cmake_parse_arguments(PACKAGE "INSTALL" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  add_executable(${name} ${sources})
  target_include_directories(${name} PRIVATE ${CMAKE_SOURCE_DIR}/Libraries ${CMAKE_SOURCE_DIR})
  target_link_libraries(${name} PRIVATE ${PACKAGE_DEPENDS})
  target_compile_definitions(${name} PRIVATE LYCHEESEAM_VERSION="${PROJECT_VERSION}")
  if(PACKAGE_INSTALL)
    install(TARGETS ${name} RUNTIME DESTINATION bin)
  endif()
endfunction()

# Defines one test program for a library from all sources in the current folder.
# Each GoogleTest case becomes a ctest test.
function(lycheeseam_tests name)
  cmake_parse_arguments(PACKAGE "" "" "DEPENDS" ${ARGN})
  file(GLOB sources CONFIGURE_DEPENDS *.cpp)
  add_executable(Test${name} ${sources})
  target_include_directories(Test${name} PRIVATE ${CMAKE_SOURCE_DIR})
  target_link_libraries(Test${name} PRIVATE ${name} ${PACKAGE_DEPENDS} GTest::gtest_main rapidcheck Threads::Threads)
  gtest_discover_tests(Test${name} TEST_PREFIX "${name}." DISCOVERY_TIMEOUT 60 PROPERTIES TIMEOUT 120)
endfunction()
