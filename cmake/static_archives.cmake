# Replaces imported shared libraries and their dependencies by the static
# archives of the same packages.

# link_archives(TARGET...)
function(link_archives)
  foreach(target ${ARGN})
    get_property(done GLOBAL PROPERTY archive_of_${target})
    if(done OR NOT TARGET ${target})
      continue()
    endif()
    set_property(GLOBAL PROPERTY archive_of_${target} ON)
    get_target_property(configurations ${target} IMPORTED_CONFIGURATIONS)
    foreach(configuration ${configurations})
      get_target_property(location ${target} IMPORTED_LOCATION_${configuration})
      if(NOT location)
        continue()
      endif()
      string(REGEX REPLACE "[.]so([.][0-9.]+)?$" ".a" archive ${location})
      if(EXISTS ${archive})
        set_target_properties(${target} PROPERTIES
          IMPORTED_LOCATION_${configuration} ${archive})
      endif()
    endforeach()
    get_target_property(needed ${target} INTERFACE_LINK_LIBRARIES)
    if(needed)
      link_archives(${needed})
    endif()
  endforeach()
endfunction()

# link_archive_of_package(TARGET LIBRARY): for a target that pkg-config created.
function(link_archive_of_package target library)
  find_library(archive_${library} lib${library}.a REQUIRED)
  set_target_properties(${target} PROPERTIES
    INTERFACE_LINK_LIBRARIES ${archive_${library}})
endfunction()
