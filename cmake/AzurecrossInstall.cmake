# Install target and package configuration: a consumer calls
# find_package(azurecross) and links with azurecross::gateway or a lower
# module.
include(CMakePackageConfigHelpers)
include(GNUInstallDirs)

get_property(modules GLOBAL PROPERTY AZURECROSS_MODULES)
install(
  TARGETS ${modules} azurecross_options
  EXPORT azurecrossTargets
  ARCHIVE DESTINATION ${CMAKE_INSTALL_LIBDIR})
install(
  DIRECTORY ${PROJECT_SOURCE_DIR}/modules/
  DESTINATION include/azurecross
  FILES_MATCHING
  PATTERN "*.h")
install(
  EXPORT azurecrossTargets
  NAMESPACE azurecross::
  DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/azurecross)
configure_package_config_file(
  ${PROJECT_SOURCE_DIR}/cmake/azurecrossConfig.cmake.in
  ${PROJECT_BINARY_DIR}/azurecrossConfig.cmake
  INSTALL_DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/azurecross)
write_basic_package_version_file(
  ${PROJECT_BINARY_DIR}/azurecrossConfigVersion.cmake
  COMPATIBILITY SameMinorVersion)
install(FILES ${PROJECT_BINARY_DIR}/azurecrossConfig.cmake
              ${PROJECT_BINARY_DIR}/azurecrossConfigVersion.cmake
        DESTINATION ${CMAKE_INSTALL_LIBDIR}/cmake/azurecross)
get_property(programs GLOBAL PROPERTY AZURECROSS_PROGRAMS)
if(programs)
  install(TARGETS ${programs} RUNTIME DESTINATION ${CMAKE_INSTALL_BINDIR})
endif()
