include(GoogleTest)

# Compiler flags for hand-written code; generated code is built without them.
add_library(chestnutstand_options INTERFACE)
target_compile_options(chestnutstand_options INTERFACE -Wall -Wextra -Wpedantic -Werror)
target_include_directories(chestnutstand_options INTERFACE ${CMAKE_SOURCE_DIR}/include)

# chestnutstand_add_module(NAME sources... [DEPENDS targets...])
# Modules are object libraries: from a static archive, the linker would drop the object files of
# self-registering classes, because no symbol of theirs is referenced.
function(chestnutstand_add_module name)
  cmake_parse_arguments(ARG "" "" "DEPENDS" ${ARGN})
  add_library(cs_${name} OBJECT ${ARG_UNPARSED_ARGUMENTS})
  target_link_libraries(cs_${name} PUBLIC chestnutstand_options ${ARG_DEPENDS})
endfunction()

# chestnutstand_add_unittest(NAME sources... [DEPENDS targets...] [RUN_SERIAL])
# RUN_SERIAL: ctest runs no other test beside one of this program.
function(chestnutstand_add_unittest name)
  cmake_parse_arguments(ARG "RUN_SERIAL" "" "DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_UNPARSED_ARGUMENTS})
  target_link_libraries(${name} PRIVATE chestnutstand_options ${ARG_DEPENDS} GTest::gmock
                                        GTest::gtest_main)
  gtest_discover_tests(${name} DISCOVERY_MODE PRE_TEST
                       PROPERTIES ENVIRONMENT "RC_PARAMS=seed=20261204" TIMEOUT 300
                                  RUN_SERIAL ${ARG_RUN_SERIAL})
endfunction()

# All modules of a node. They are listed because CMake does not link objects of object libraries
# transitively.
set(CHESTNUTSTAND_NODE_MODULES cs_platform cs_node cs_dispatch cs_admission cs_keys cs_config cs_membership
                               cs_quota cs_routing cs_tenancy cs_transport cs_support cs_proto)
