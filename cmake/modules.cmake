# Functions that declare a module and its tests and check what a pure module
# links.

find_package(Threads REQUIRED)
find_package(Boost 1.74 REQUIRED COMPONENTS program_options log log_setup
                                            unit_test_framework)
find_package(PkgConfig REQUIRED)
pkg_check_modules(GNUTLS REQUIRED IMPORTED_TARGET gnutls)
pkg_check_modules(PROTOBUF REQUIRED IMPORTED_TARGET protobuf-lite)
pkg_check_modules(XXHASH REQUIRED IMPORTED_TARGET libxxhash)
if(NOT CELERYBEAM_GATEWAY_ONLY)
  pkg_check_modules(CURL REQUIRED IMPORTED_TARGET libcurl)
  pkg_check_modules(ULFIUS REQUIRED IMPORTED_TARGET libulfius)
  pkg_check_modules(MICROHTTPD REQUIRED IMPORTED_TARGET libmicrohttpd)
  pkg_check_modules(ZMQ REQUIRED IMPORTED_TARGET libzmq)
endif()

# Libraries that do I/O. A module declared PURE must not link any of them,
# directly or through another module.
set(CELERYBEAM_IO_LIBRARIES PkgConfig::CURL PkgConfig::ULFIUS
                            PkgConfig::MICROHTTPD PkgConfig::ZMQ)

function(celerybeam_flags Target)
  # -Wno-restrict: with optimisation, GCC 12 warns of an overlap in
  # std::string's operator+ that cannot happen (GCC bug 105651).
  target_compile_options(${Target} PRIVATE -Wall -Wextra -Wpedantic -Werror
                                           -Wshadow=local -Wno-restrict)
  target_compile_definitions(${Target} PRIVATE BOOST_LOG_DYN_LINK)
  if(CELERYBEAM_FUZZ)
    # The options above, with warnings as errors, are chosen for GCC; clang does
    # not know all of their names.
    target_compile_options(${Target} PRIVATE -Wno-unknown-warning-option
      -fsanitize=fuzzer-no-link,address,undefined
      -fno-sanitize-recover=undefined -fno-omit-frame-pointer)
  endif()
  if(CELERYBEAM_SANITIZE)
    target_compile_options(${Target} PRIVATE
      -fsanitize=${CELERYBEAM_SANITIZE} -fno-omit-frame-pointer)
    target_link_options(${Target} PUBLIC -fsanitize=${CELERYBEAM_SANITIZE})
  endif()
endfunction()

# Stops the configuration with an error when a pure module links an I/O
# library.
function(celerybeam_check_pure Target)
  get_target_property(Libraries ${Target} LINK_LIBRARIES)
  foreach(Library IN LISTS Libraries)
    if(Library IN_LIST CELERYBEAM_IO_LIBRARIES)
      message(FATAL_ERROR "${Target} is pure but links ${Library}; move the "
                          "I/O into a module of its own and pass a hook.")
    endif()
    if(TARGET ${Library} AND Library MATCHES "^celerybeam_")
      get_target_property(Pure ${Library} CELERYBEAM_PURE)
      if(NOT Pure)
        message(FATAL_ERROR "${Target} is pure but links ${Library}, which "
                            "is not; pass a hook instead.")
      endif()
    endif()
  endforeach()
endfunction()

# celerybeam_module(NAME [PURE] SOURCES ... LINK ...): a static library; PURE
# forbids I/O libraries.
function(celerybeam_module Name)
  cmake_parse_arguments(Arg "PURE" "" "SOURCES;LINK" ${ARGN})
  set(Target celerybeam_${Name})
  add_library(${Target} STATIC ${Arg_SOURCES})
  target_include_directories(${Target} PUBLIC ${PROJECT_SOURCE_DIR}/src)
  target_link_libraries(${Target} PUBLIC ${Arg_LINK} Threads::Threads)
  celerybeam_flags(${Target})
  if(Arg_PURE)
    set_target_properties(${Target} PROPERTIES CELERYBEAM_PURE ON)
    celerybeam_check_pure(${Target})
  endif()
endfunction()

# The main function of all Boost.Test programs, compiled once.
add_library(celerybeam_testmain OBJECT ${PROJECT_SOURCE_DIR}/tests/testmain.cpp)
target_link_libraries(celerybeam_testmain PUBLIC Boost::unit_test_framework)
target_compile_definitions(celerybeam_testmain PUBLIC BOOST_TEST_DYN_LINK)
celerybeam_flags(celerybeam_testmain)

# celerybeam_test(NAME SOURCES ... LINK ...): one Boost.Test program.
function(celerybeam_test Name)
  if(CELERYBEAM_GATEWAY_ONLY)
    return()
  endif()
  cmake_parse_arguments(Arg "" "" "SOURCES;LINK" ${ARGN})
  set(Target test_${Name})
  add_executable(${Target} ${Arg_SOURCES})
  target_link_libraries(${Target} PRIVATE ${Arg_LINK} celerybeam_testmain)
  celerybeam_flags(${Target})
  add_test(NAME ${Name} COMMAND ${Target})
  set_tests_properties(${Name} PROPERTIES TIMEOUT 240)
endfunction()
