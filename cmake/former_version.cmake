# Builds a former version of the service from the repository's history as a library. The library has a
# namespace of its own, so that tests can run the former version beside the present one (tests/former).
#
# NAME: the function in tests/former/former_version.hpp that returns the former version.
# COMMIT: the full hash of its commit. A missing or unknown commit is a fatal configuration error.
function(add_former_version NAME COMMIT)
  if(NOT COMMIT MATCHES "^[0-9a-f]+$")
    message(FATAL_ERROR "former version ${NAME}: '${COMMIT}' is not the hash of a commit")
  endif()
  execute_process(COMMAND git -C ${CMAKE_SOURCE_DIR} cat-file -e ${COMMIT}^{commit}
                  RESULT_VARIABLE COMMIT_MISSING ERROR_QUIET)
  if(COMMIT_MISSING)
    message(FATAL_ERROR "former version ${NAME}: commit ${COMMIT} is not in the repository's history")
  endif()

  set(DIRECTORY ${CMAKE_BINARY_DIR}/former-${COMMIT})
  if(NOT EXISTS ${DIRECTORY}/src/daemon/main.cpp)
    file(MAKE_DIRECTORY ${DIRECTORY})
    execute_process(COMMAND git -C ${CMAKE_SOURCE_DIR} archive --format=tar -o ${DIRECTORY}/src.tar
                            ${COMMIT} src COMMAND_ERROR_IS_FATAL ANY)
    execute_process(COMMAND ${CMAKE_COMMAND} -E tar xf src.tar WORKING_DIRECTORY ${DIRECTORY}
                            COMMAND_ERROR_IS_FATAL ANY)
  endif()

  file(GLOB_RECURSE SOURCES ${DIRECTORY}/src/*.cpp)
  list(REMOVE_ITEM SOURCES ${DIRECTORY}/src/daemon/main.cpp)
  set(LIBRARY gingerdrift_former_${NAME})
  add_library(${LIBRARY} STATIC ${SOURCES} tests/former/adapter.cpp)
  target_include_directories(${LIBRARY} PRIVATE ${DIRECTORY}/src tests/former)
  target_include_directories(${LIBRARY} SYSTEM PRIVATE ${MSGPACK_INCLUDE})
  target_compile_options(${LIBRARY} PRIVATE ${GINGERDRIFT_TEST_OPTIMIZATION})
  target_compile_definitions(
    ${LIBRARY} PRIVATE GINGERDRIFT_VERSION="${PROJECT_VERSION}" MSGPACK_NO_BOOST
                       gingerdrift=${LIBRARY} FORMER_RELEASE=${NAME}
                       FORMER_RECORDS="records_${NAME}.hpp")
  target_link_libraries(
    ${LIBRARY} PRIVATE nlohmann_json::nlohmann_json CLI11::CLI11 spdlog::spdlog pugixml::pugixml
                       tomlplusplus::tomlplusplus Boost::headers ${UV_LIBRARY}
                       ${HTTP_PARSER_LIBRARY} Threads::Threads)
endfunction()
