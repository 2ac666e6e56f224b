# Helpers that every folder's CMakeLists.txt uses.

find_package(PkgConfig REQUIRED)
find_package(Threads REQUIRED)
find_package(absl REQUIRED)
find_package(spdlog REQUIRED)
find_package(nlohmann_json REQUIRED)
find_package(OpenSSL REQUIRED)
pkg_check_modules(CRITERION REQUIRED IMPORTED_TARGET criterion)
find_library(ROCKSDB_LIBRARY rocksdb REQUIRED)
find_library(XXHASH_LIBRARY xxhash REQUIRED)
find_library(ZSTD_LIBRARY zstd REQUIRED)
find_library(PROMETHEUS_CORE_LIBRARY prometheus-cpp-core REQUIRED)

find_program(CCACHE_PROGRAM ccache)
if(CCACHE_PROGRAM)
  set(CMAKE_CXX_COMPILER_LAUNCHER ${CCACHE_PROGRAM})
endif()

add_library(pearbarrow_options INTERFACE)
target_include_directories(pearbarrow_options INTERFACE ${CMAKE_SOURCE_DIR}/src)
target_compile_options(pearbarrow_options INTERFACE -Wall -Wextra -Wno-unused-parameter -Wno-missing-field-initializers)
target_compile_definitions(pearbarrow_options INTERFACE
    BOOST_ERROR_CODE_HEADER_ONLY BOOST_SYSTEM_NO_DEPRECATED)
if(PEARBARROW_SANITIZE)
  # -O1 compiles the instrumented code in about half the time of -O2. A finding of either sanitizer
  # ends the program, so that a test cannot pass over it.
  target_compile_options(pearbarrow_options INTERFACE
      -fsanitize=address,undefined -fno-sanitize-recover=all -fno-omit-frame-pointer -O1)
  target_link_options(pearbarrow_options INTERFACE -fsanitize=address,undefined)
endif()

# pearbarrow_library(FOLDER SOURCES a.cc b.cc DEPENDS other-library ...)
# makes the library pearbarrow_FOLDER.
function(pearbarrow_library folder)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_library(pearbarrow_${folder} STATIC ${ARG_SOURCES})
  target_link_libraries(pearbarrow_${folder} PUBLIC pearbarrow_options ${ARG_DEPENDS})
endfunction()

# All programs of unit and simulation tests.
add_custom_target(pearbarrow_tests)

# pearbarrow_test(NAME SOURCES a_test.cc DEPENDS library ... [LABELS label])
# makes a Criterion program NAME and registers it with ctest.
function(pearbarrow_test name)
  cmake_parse_arguments(ARG "" "TIMEOUT" "SOURCES;DEPENDS;LABELS" ${ARGN})
  if(NOT ARG_TIMEOUT)
    set(ARG_TIMEOUT 300)
  endif()
  if(PEARBARROW_SANITIZE)
    math(EXPR ARG_TIMEOUT "${ARG_TIMEOUT} * 3")
  endif()
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS} PkgConfig::CRITERION)
  add_dependencies(pearbarrow_tests ${name})
  add_test(NAME ${name} COMMAND ${name} --jobs 2)
  set_tests_properties(${name} PROPERTIES TIMEOUT ${ARG_TIMEOUT} LABELS "${ARG_LABELS}")
endfunction()

# pearbarrow_program(NAME SOURCES main.cc DEPENDS library ...)
function(pearbarrow_program name)
  cmake_parse_arguments(ARG "" "" "SOURCES;DEPENDS" ${ARGN})
  add_executable(${name} ${ARG_SOURCES})
  target_link_libraries(${name} PRIVATE ${ARG_DEPENDS})
  set_target_properties(${name} PROPERTIES RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
