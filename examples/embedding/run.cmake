# Installs the library into the build directory, then configures, builds and
# runs the example against what was installed.
set(prefix ${BUILD}/installed)
function(run)
  execute_process(COMMAND ${ARGV} COMMAND_ERROR_IS_FATAL ANY)
endfunction()
run(${CMAKE_COMMAND} --install ${BUILD} --prefix ${prefix})
run(${CMAKE_COMMAND} -S ${SOURCE}/examples/embedding -B ${BUILD}/embedding
  -DCMAKE_PREFIX_PATH=${prefix})
run(${CMAKE_COMMAND} --build ${BUILD}/embedding)
run(${BUILD}/embedding/embedding)
