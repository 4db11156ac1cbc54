# Compile options shared by all targets, and one function for each kind of
# target: module library, program, test program and benchmark.
add_library(azurecross_options INTERFACE)
target_compile_features(azurecross_options INTERFACE cxx_std_20)
target_compile_definitions(
  azurecross_options INTERFACE BOOST_LOG_DYN_LINK BOOST_ALL_DYN_LINK
                               BOOST_ASIO_NO_DEPRECATED)
if(AZURECROSS_SANITIZE)
  target_compile_options(
    azurecross_options INTERFACE -fsanitize=${AZURECROSS_SANITIZE}
                                 -fno-omit-frame-pointer)
  target_link_options(azurecross_options INTERFACE
                      -fsanitize=${AZURECROSS_SANITIZE})
endif()

set(AZURECROSS_WARNINGS -Wall -Wextra -Werror -Wshadow -Wnon-virtual-dtor)
# ThreadSanitizer does not instrument std::atomic_thread_fence; the Asio
# headers use it.
if(AZURECROSS_SANITIZE MATCHES "thread")
  list(APPEND AZURECROSS_WARNINGS -Wno-tsan)
endif()
# GCC 12 reports false positives of these kinds in optimized Boost and
# standard library headers.
list(APPEND AZURECROSS_WARNINGS -Wno-maybe-uninitialized -Wno-restrict
     -Wno-stringop-overread -Wno-array-bounds -Wno-stringop-overflow
     -Wno-mismatched-new-delete)

# azurecross_add_module(<name> SOURCES ... LINK ...): the static library of
# the module modules/azurecross_<name>, as target azurecross::<name>.
function(azurecross_add_module aName)
  cmake_parse_arguments(ARG "" "" "SOURCES;LINK;PRIVATE_LINK" ${ARGN})
  set(target azurecross_${aName})
  add_library(${target} STATIC ${ARG_SOURCES})
  add_library(azurecross::${aName} ALIAS ${target})
  set_target_properties(${target} PROPERTIES EXPORT_NAME ${aName})
  target_include_directories(
    ${target} PUBLIC $<BUILD_INTERFACE:${PROJECT_SOURCE_DIR}/modules>
                     $<INSTALL_INTERFACE:include/azurecross>)
  target_compile_options(${target} PRIVATE ${AZURECROSS_WARNINGS})
  target_link_libraries(
    ${target} PUBLIC azurecross_options ${ARG_LINK} Threads::Threads
    PRIVATE ${ARG_PRIVATE_LINK})
  set_property(GLOBAL APPEND PROPERTY AZURECROSS_MODULES ${target})
endfunction()

# azurecross_precompile_asio(<target>): precompiles the Asio and Beast headers,
# which take most of the compile time of files that use them.
function(azurecross_precompile_asio aTarget)
  target_precompile_headers(
    ${aTarget}
    PRIVATE
    <boost/asio/awaitable.hpp>
    <boost/asio/co_spawn.hpp>
    <boost/asio/detached.hpp>
    <boost/asio/io_context.hpp>
    <boost/asio/ip/tcp.hpp>
    <boost/asio/redirect_error.hpp>
    <boost/asio/steady_timer.hpp>
    <boost/asio/use_awaitable.hpp>
    <boost/beast/core.hpp>
    <boost/beast/http.hpp>
    <boost/leaf.hpp>
    <map>
    <memory>
    <string>
    <vector>)
endfunction()

# azurecross_add_program(<name> [INSTALL] SOURCES ... LINK ...)
function(azurecross_add_program aName)
  cmake_parse_arguments(ARG "INSTALL" "" "SOURCES;LINK" ${ARGN})
  add_executable(${aName} ${ARG_SOURCES})
  target_compile_options(${aName} PRIVATE ${AZURECROSS_WARNINGS})
  target_link_libraries(${aName} PRIVATE ${ARG_LINK})
  if(ARG_INSTALL)
    set_property(GLOBAL APPEND PROPERTY AZURECROSS_PROGRAMS ${aName})
  endif()
endfunction()

# azurecross_add_test(<name> SOURCES ... LINK ... [TIMEOUT seconds]): a
# Boost.Test program registered with CTest.
function(azurecross_add_test aName)
  cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;LINK" ${ARGN})
  add_executable(${aName} ${ARG_SOURCES})
  target_compile_definitions(${aName} PRIVATE BOOST_TEST_DYN_LINK)
  target_compile_options(${aName} PRIVATE ${AZURECROSS_WARNINGS})
  target_link_libraries(${aName} PRIVATE ${ARG_LINK}
                                         Boost::unit_test_framework)
  add_test(NAME ${aName} COMMAND ${aName} --log_level=test_suite
                                 --report_level=short)
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 120)
  endif()
  set_tests_properties(${aName} PROPERTIES TIMEOUT ${ARG_TIMEOUT})
endfunction()
