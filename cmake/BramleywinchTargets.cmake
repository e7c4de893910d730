# Build rules shared by all modules and programs.

set(BW_WARNINGS -Wall -Wextra -Wpedantic -Wnon-virtual-dtor -Werror
  -Wno-missing-field-initializers)
if(CMAKE_CXX_COMPILER_ID STREQUAL "GNU")
  # g++ 12 warns wrongly about string concatenation (its bug 105651).
  list(APPEND BW_WARNINGS -Wno-restrict)
endif()

if(BW_FUZZ)
  # Coverage for libFuzzer in everything that a target links.
  set(BW_FUZZ_FLAGS -fsanitize=fuzzer-no-link,address,undefined
    -fno-sanitize-recover=undefined)
  add_compile_options(${BW_FUZZ_FLAGS})
  add_link_options(-fsanitize=address,undefined)
endif()

# bw_add_fuzz_targets(NAME)
# Builds every *_fuzz.cpp below the module's folder into a libFuzzer program
# of that name, with the fuzz preset only.
function(bw_add_fuzz_targets Name)
  if(NOT BW_FUZZ)
    return()
  endif()
  file(GLOB_RECURSE Targets CONFIGURE_DEPENDS *_fuzz.cpp)
  foreach(Source ${Targets})
    get_filename_component(Target ${Source} NAME_WE)
    add_executable(${Target} ${Source})
    target_link_libraries(${Target} PRIVATE ${Name})
    target_link_options(${Target} PRIVATE -fsanitize=fuzzer)
    set_target_properties(${Target} PROPERTIES
      RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/fuzz)
  endforeach()
endfunction()

# bw_add_module(NAME [DEPENDS modules...] [LIBRARIES targets...])
# Builds every source below the module's folder into one static library and
# every *_test.cpp into NAME_tests.
function(bw_add_module Name)
  cmake_parse_arguments(Arg "" "" "DEPENDS;LIBRARIES" ${ARGN})
  file(GLOB_RECURSE Sources CONFIGURE_DEPENDS *.cpp *.cc)
  set(Tests ${Sources})
  list(FILTER Sources EXCLUDE REGEX "_(test|fuzz)\\.cpp$")
  list(FILTER Tests INCLUDE REGEX "_test\\.cpp$")
  add_library(${Name} STATIC ${Sources})
  target_include_directories(${Name} PUBLIC ${CMAKE_SOURCE_DIR}/modules)
  target_link_libraries(${Name} PUBLIC ${Arg_DEPENDS} ${Arg_LIBRARIES}
    Threads::Threads)
  target_compile_options(${Name} PRIVATE ${BW_WARNINGS})
  if(Tests AND NOT BW_PLATFORM_ONLY)
    add_executable(${Name}_tests ${Tests})
    target_link_libraries(${Name}_tests PRIVATE ${Name} bw_testing)
    target_compile_options(${Name}_tests PRIVATE ${BW_WARNINGS})
    target_compile_definitions(${Name}_tests PRIVATE
      BW_SOURCE_DIRECTORY="${CMAKE_SOURCE_DIR}")
    set_target_properties(${Name}_tests PROPERTIES
      RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/unit_tests)
  endif()
  bw_add_fuzz_targets(${Name})
endfunction()

# bw_add_program(NAME [DEPENDS modules...])
# Builds every source in the program's folder into bin/NAME.
function(bw_add_program Name)
  cmake_parse_arguments(Arg "" "" "DEPENDS" ${ARGN})
  file(GLOB Sources CONFIGURE_DEPENDS *.cpp)
  add_executable(${Name} ${Sources})
  target_link_libraries(${Name} PRIVATE ${Arg_DEPENDS})
  target_compile_options(${Name} PRIVATE ${BW_WARNINGS})
  target_compile_definitions(${Name} PRIVATE BW_VERSION="${PROJECT_VERSION}")
  set_target_properties(${Name} PROPERTIES
    RUNTIME_OUTPUT_DIRECTORY ${CMAKE_BINARY_DIR}/bin)
endfunction()
